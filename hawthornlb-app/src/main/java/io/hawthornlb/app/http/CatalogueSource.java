package io.hawthornlb.app.http;

/** Provides the catalogue that is in force on this instance. */
public interface CatalogueSource {

  /** Returns the newest catalogue that this instance has folded from the catalogue stream. */
  CatalogueIndex current();
}
