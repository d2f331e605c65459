package io.hawthornlb.core.runonce;

import java.util.Optional;

/** The run-once requests of a partition as far as its stream has been folded. */
public interface RunOnceDirectory {

  /** Returns what is known of a key, or empty if it is unknown or has expired. */
  Optional<KeyState> key(RunOnceKey key);

  /** Returns whether a key has this fingerprint. */
  boolean sameContent(KeyState state, String fingerprint);

  /** Returns the last record that named witnesses. */
  Optional<ReplicasNamed> replicasNamed();

  /** Returns whether the holder that named the witnesses has released them since. */
  boolean released();

  /** Returns the number of remembered keys. */
  int size();
}
