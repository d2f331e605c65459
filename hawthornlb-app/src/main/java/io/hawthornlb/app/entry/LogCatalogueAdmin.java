package io.hawthornlb.app.entry;

import io.hawthornlb.app.http.CatalogueAdmin;
import io.hawthornlb.core.catalogue.Catalogue;
import io.hawthornlb.core.catalogue.CatalogueChecker;
import io.hawthornlb.core.catalogue.CatalogueEdit;
import io.hawthornlb.core.catalogue.EditOutcome;
import io.hawthornlb.core.catalogue.support.DefaultCatalogueChecker;
import io.hawthornlb.core.model.Finding;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Edits the catalogue through the log. */
final class LogCatalogueAdmin implements CatalogueAdmin {

  private final ControlPlane control;
  private final CatalogueHolder holder;
  private final DecisionLoop loop;
  private final CatalogueChecker checker = new DefaultCatalogueChecker();

  LogCatalogueAdmin(ControlPlane control, CatalogueHolder holder, DecisionLoop loop) {
    this.control = control;
    this.holder = holder;
    this.loop = loop;
  }

  @Override
  public List<Finding> check(Catalogue wanted) {
    Catalogue current = holder.current().catalogue();
    return checker.check(current, edit(current, current.revision(), "check", wanted));
  }

  @Override
  public CompletionStage<EditOutcome> replace(long baseRevision, String author, Catalogue wanted) {
    return control.edit(edit(holder.current().catalogue(), baseRevision, author, wanted));
  }

  @Override
  public CompletionStage<List<EditOutcome>> history() {
    CompletableFuture<List<EditOutcome>> result = new CompletableFuture<>();
    loop.execute(() -> result.complete(control.catalogueView().history()));
    return result;
  }

  private static CatalogueEdit edit(
      Catalogue current, long baseRevision, String author, Catalogue wanted) {
    CatalogueEdit.Builder edit =
        CatalogueEdit.builder(UUID.randomUUID().toString(), baseRevision, author);
    wanted.services().values().stream()
        .filter(entry -> !entry.equals(current.services().get(entry.name())))
        .forEach(edit::put);
    wanted.workspaces().values().stream()
        .filter(entry -> !entry.equals(current.workspaces().get(entry.id())))
        .forEach(edit::put);
    current.services().keySet().stream()
        .filter(name -> !wanted.services().containsKey(name))
        .forEach(edit::remove);
    current.workspaces().keySet().stream()
        .filter(id -> !wanted.workspaces().containsKey(id))
        .forEach(edit::remove);
    return edit.build();
  }
}
