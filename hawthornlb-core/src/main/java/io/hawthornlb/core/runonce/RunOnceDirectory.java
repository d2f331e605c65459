package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.InstanceId;
import java.time.Instant;
import java.util.Optional;

/** The run-once requests of a partition as far as its stream has been folded. */
public interface RunOnceDirectory {

  /** Returns what is known of a key, or empty if it is unknown or has expired. */
  Optional<KeyState> key(RunOnceKey key);

  /** Returns whether a key has this fingerprint. */
  boolean sameContent(KeyState state, String fingerprint);

  /** Returns the last record that named witnesses and was not released since. */
  Optional<WitnessesNamed> witnesses();

  /** Returns until when a key that is not known may have run. */
  Optional<Instant> unknownUntil();

  /** Returns the current holder as the stream names it. */
  Optional<InstanceId> holder();

  /** Returns the number of remembered keys. */
  int size();
}
