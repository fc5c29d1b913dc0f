#!/bin/sh
# Builds what the cases 4 to 8 start besides the controller. Their stand-ins are programs in Python 3 with its
# standard library (review/stand_ins_2), so there is nothing to compile: this checks that they can be loaded.
cd "$(dirname "$0")/stand_ins_2" || exit 1
exec python3 -B -c 'import case, cbor, controllers, network, platform_2, web'
