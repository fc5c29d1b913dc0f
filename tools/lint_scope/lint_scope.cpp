// Plugin for clang-tidy: limits the walk over the syntax tree to declarations outside of system headers.
//
// clang-tidy 14 matches every check against the whole translation unit, system headers included, and then
// throws away what it found there. Nearly all of its time goes into that. This action runs before the
// linter's own and narrows ASTContext's traversal scope, as clangd does. Every check and every file of the
// project is still seen: the parser reads everything, and names and types of system headers are resolved as
// before.
#include <clang/AST/ASTConsumer.h>
#include <clang/AST/ASTContext.h>
#include <clang/AST/Decl.h>
#include <clang/Basic/SourceManager.h>
#include <clang/Frontend/CompilerInstance.h>
#include <clang/Frontend/FrontendAction.h>
#include <clang/Frontend/FrontendPluginRegistry.h>

#include <memory>
#include <string>
#include <vector>

namespace {

/// Narrows the traversal scope once the unit is parsed, before the checks walk it.
class ScopeConsumer : public clang::ASTConsumer {
 public:
  void HandleTranslationUnit(clang::ASTContext& context) override {
    const clang::SourceManager& sources = context.getSourceManager();
    std::vector<clang::Decl*> kept;
    for (clang::Decl* decl : context.getTranslationUnitDecl()->decls()) {
      if (!sources.isInSystemHeader(sources.getExpansionLoc(decl->getLocation()))) kept.push_back(decl);
    }
    context.setTraversalScope(kept);
  }
};

/// Puts ScopeConsumer in front of the consumers of whichever tool loads the plugin.
class ScopeAction : public clang::PluginASTAction {
 protected:
  std::unique_ptr<clang::ASTConsumer> CreateASTConsumer(clang::CompilerInstance& /*compiler*/,
                                                        llvm::StringRef /*file*/) override {
    return std::make_unique<ScopeConsumer>();
  }
  bool ParseArgs(const clang::CompilerInstance& /*compiler*/,
                 const std::vector<std::string>& /*args*/) override {
    return true;
  }
  ActionType getActionType() override { return AddBeforeMainAction; }
};

const clang::FrontendPluginRegistry::Add<ScopeAction> registration("lint-scope",
                                                                   "keep system headers out of the walk");

}  // namespace
