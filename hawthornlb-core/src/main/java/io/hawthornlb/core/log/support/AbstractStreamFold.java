package io.hawthornlb.core.log.support;

import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.log.SnapshotFold;
import io.hawthornlb.core.log.SnapshotPart;
import io.hawthornlb.core.log.UnknownRecord;
import io.hawthornlb.core.log.WriterWindow;
import io.hawthornlb.core.util.Checks;
import java.util.List;
import java.util.Optional;

/**
 * Base of the folds: keeps offsets in order, drops duplicates, and starts from snapshots.
 *
 * <p>Subclasses hold the state and say what a record does to it. While records are missing the
 * state stays as it was, and records are kept until a snapshot comes that covers the gap.
 *
 * @param <P> the type of the snapshot parts of the stream
 */
public abstract class AbstractStreamFold<P extends SnapshotPart> implements SnapshotFold {

  /** Takes the place of a snapshot part among the kept records; only its id still matters. */
  private record PassedPart() implements RecordBody {}

  private final Class<P> partType;
  private final int version;
  private final DuplicateFilter duplicates = new DuplicateFilter();
  private final SnapshotAssembly<P> assembly;
  private final SnapshotAge snapshotAge = new SnapshotAge();
  private long nextOffset;
  private long stateOffset;
  private boolean lacksNewerChanges;

  /**
   * Creates an empty fold that expects the records from offset zero on.
   *
   * @param version the version of the snapshots that it writes
   */
  protected AbstractStreamFold(Class<P> partType, int version) {
    this.partType = partType;
    this.version = version;
    this.assembly = new SnapshotAssembly<>();
  }

  @Override
  public final void apply(LogRecord entry) {
    Checks.isTrue(
        entry.offset() >= nextOffset,
        "offset " + entry.offset() + " was applied before; next is " + nextOffset);
    boolean whole = complete();
    nextOffset = entry.offset() + 1;
    snapshotAge.noteRecord(entry.appendedAt());
    if (partType.isInstance(entry.body())) {
      notePart(entry, partType.cast(entry.body()), whole);
    } else {
      applyOrKeep(entry, whole);
    }
  }

  @Override
  public final long nextOffset() {
    return nextOffset;
  }

  @Override
  public final long stateOffset() {
    return stateOffset;
  }

  @Override
  public final void restartAt(long firstOffset) {
    Checks.isTrue(firstOffset >= stateOffset, "the fold is already past offset " + firstOffset);
    nextOffset = firstOffset;
    assembly.restart(firstOffset);
  }

  /**
   * Returns the parts of a snapshot of the state up to {@link #nextOffset()}.
   *
   * <p>Empty while the state is not complete, and after a record or snapshot of a newer version: a
   * snapshot without its effect would make the newer version forget it.
   */
  public final List<P> snapshot() {
    if (!complete() || lacksNewerChanges) {
      return List.of();
    }
    return createSnapshot(nextOffset, duplicates.windows());
  }

  /** Returns what a {@link SnapshotPolicy} needs to know. */
  public final SnapshotAge snapshotAge() {
    return snapshotAge;
  }

  /** Returns whether the state lacks the effect of a record or snapshot of a newer version. */
  public final boolean lacksNewerChanges() {
    return lacksNewerChanges;
  }

  /** Notes that a record rests on rules that this version does not know. */
  protected final void noteNewerChange() {
    lacksNewerChanges = true;
  }

  /** Applies a record that is neither a duplicate nor a snapshot; void if it does not fit. */
  protected abstract void applyFirst(LogRecord entry);

  /** Creates the parts of a snapshot of the state; the first part carries the writers. */
  protected abstract List<P> createSnapshot(long upTo, List<WriterWindow> writers);

  /** Replaces the state by that of a snapshot, whose parts are in order. */
  protected abstract void install(List<P> parts);

  private void applyOrKeep(LogRecord entry, boolean whole) {
    if (whole) {
      applyInOrder(entry);
    } else {
      assembly.keep(entry);
    }
  }

  private void notePart(LogRecord entry, P part, boolean whole) {
    applyOrKeep(
        new LogRecord(entry.offset(), entry.appendedAt(), entry.id(), new PassedPart()), whole);
    Optional<List<P>> parts = assembly.add(entry.id().writer(), part);
    if (parts.isEmpty()) {
      return;
    }
    snapshotAge.noteSnapshot(entry, part.upTo());
    // A snapshot that was written by a paused instance or read late is older than the state. It
    // would show as state that goes back. A complete fold therefore never takes one, and an
    // incomplete one only if it has every record after the snapshot.
    if (!whole && assembly.covers(part.upTo())) {
      startFrom(parts.get());
    }
  }

  private void startFrom(List<P> parts) {
    P first = parts.get(0);
    install(parts);
    duplicates.install(first.writers());
    lacksNewerChanges = first.version() > version;
    stateOffset = first.upTo();
    assembly.takeKept(stateOffset).forEach(this::applyInOrder);
    stateOffset = nextOffset;
  }

  private void applyInOrder(LogRecord entry) {
    stateOffset = entry.offset() + 1;
    // An append whose answer was lost is sent again, so a record can stand in the stream twice. It
    // would show as an effect that happens twice. The second occurrence has the same id.
    if (!duplicates.isFirst(entry.id())) {
      return;
    }
    if (entry.body() instanceof UnknownRecord) {
      lacksNewerChanges = true;
    } else if (!(entry.body() instanceof PassedPart)) {
      applyFirst(entry);
    }
  }
}
