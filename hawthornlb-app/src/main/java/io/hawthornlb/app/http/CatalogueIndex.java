package io.hawthornlb.app.http;

import io.hawthornlb.core.catalogue.Catalogue;
import io.hawthornlb.core.catalogue.WorkspaceEntry;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;

/** A catalogue together with an index of its workspaces by the hashes of their bearer keys. */
public final class CatalogueIndex {

  private final Catalogue catalogue;
  private final Map<String, WorkspaceEntry> workspacesByKeyHash = new HashMap<>();

  /** Creates the index of a catalogue. */
  public CatalogueIndex(Catalogue catalogue) {
    this.catalogue = catalogue;
    for (WorkspaceEntry workspace : catalogue.workspaces().values()) {
      workspace.keyHashes().forEach(hash -> workspacesByKeyHash.put(hash, workspace));
    }
  }

  /** Returns the indexed catalogue. */
  public Catalogue catalogue() {
    return catalogue;
  }

  /** Returns the workspace that a bearer key belongs to; empty if the key is unknown. */
  public Optional<WorkspaceEntry> workspaceOfKey(String key) {
    return Optional.ofNullable(workspacesByKeyHash.get(hash(key)));
  }

  /** Returns the SHA-256 digest of a key in lower-case hexadecimal. */
  public static String hash(String key) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("this Java runtime does not provide SHA-256", e);
    }
  }
}
