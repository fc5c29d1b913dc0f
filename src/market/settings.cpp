#include "oxbowmill/market/settings.h"

#include <cmath>

namespace oxbowmill::market {

MoneyAmount to_money_amount(double amount) {
  return static_cast<MoneyAmount>(std::llround(amount * static_cast<double>(currency_unit)));
}

}  // namespace oxbowmill::market
