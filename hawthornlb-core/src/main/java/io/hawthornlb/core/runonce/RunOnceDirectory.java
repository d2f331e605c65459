package io.hawthornlb.core.runonce;

import java.util.Optional;

/** Run-once state of a partition, as far as its stream has been folded. */
public interface RunOnceDirectory {

  /** Returns the state of a key, or empty if the key is unknown or has expired. */
  Optional<KeyState> key(RunOnceKey key);

  /** Returns whether a key was recorded with this fingerprint. */
  boolean sameContent(KeyState state, String fingerprint);

  /** Returns the last record that named the replicas of an epoch. */
  Optional<ReplicasNamed> replicasNamed();

  /** Returns whether the holder that appended this record has released its replicas since. */
  boolean released();

  /** Returns the number of keys that have not expired. */
  int size();
}
