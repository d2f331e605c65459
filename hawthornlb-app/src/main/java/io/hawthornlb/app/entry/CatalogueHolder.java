package io.hawthornlb.app.entry;

import io.hawthornlb.app.http.CatalogueIndex;
import io.hawthornlb.app.http.CatalogueSource;
import io.hawthornlb.core.catalogue.Catalogue;

/** Publishes the catalogue from the decision loop to the threads that serve callers. */
public final class CatalogueHolder implements CatalogueSource {

  private volatile CatalogueIndex current = new CatalogueIndex(Catalogue.EMPTY);

  @Override
  public CatalogueIndex current() {
    return current;
  }

  /** Sets the current catalogue if its revision is newer; otherwise does nothing. */
  public synchronized void update(Catalogue catalogue) {
    if (catalogue.revision() > current.catalogue().revision()) {
      current = new CatalogueIndex(catalogue);
    }
  }
}
