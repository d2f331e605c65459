package io.hawthornlb.app.http;

/** Gives the catalogue in force on this instance. */
public interface CatalogueSource {

  /** Returns the newest catalogue that this instance has folded. */
  CatalogueIndex current();
}
