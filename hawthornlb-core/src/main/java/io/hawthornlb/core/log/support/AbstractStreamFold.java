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
 * Base class of folds: checks the order of offsets, drops duplicates, and starts from snapshots.
 *
 * <p>Subclasses hold the state and define how a record changes it. While records are missing, the
 * state does not change, and further records are kept until a snapshot arrives that covers the gap.
 *
 * @param <P> the type of the snapshot parts of the stream
 */
public abstract class AbstractStreamFold<P extends SnapshotPart> implements SnapshotFold {

  /**
   * Replaces a snapshot part among the kept records, because only the record id of the part is
   * still needed.
   */
  private record ReplacedPart() implements RecordBody {}

  private final Class<P> partType;
  private final int version;
  private final DuplicateFilter duplicates = new DuplicateFilter();
  private final SnapshotAssembly<P> assembly;
  private final SnapshotAge snapshotAge = new SnapshotAge();
  private long nextOffset;
  private long stateOffset;
  private boolean lacksNewerChanges;

  /**
   * Creates an empty fold that expects records from offset zero on.
   *
   * @param partType the type of the snapshot parts
   * @param version the version of the snapshots that the fold writes
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
        "offset " + entry.offset() + " was already applied; next is " + nextOffset);
    boolean whole = complete();
    nextOffset = entry.offset() + 1;
    snapshotAge.noteRecord(entry.appendedAt());
    if (partType.isInstance(entry.body())) {
      onSnapshotPart(entry, partType.cast(entry.body()), whole);
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
    Checks.isTrue(firstOffset >= stateOffset, "the fold has already applied offset " + firstOffset);
    nextOffset = firstOffset;
    assembly.restart(firstOffset);
  }

  /**
   * Returns the parts of a snapshot of the state up to {@link #nextOffset()}.
   *
   * <p>Returns an empty list while the state is not complete, and after a record or snapshot of a
   * newer version. A snapshot would lack the effect of that record, and instances of the newer
   * version that start from the snapshot would lose it.
   */
  public final List<P> snapshot() {
    if (!complete() || lacksNewerChanges) {
      return List.of();
    }
    return createSnapshot(nextOffset, duplicates.windows());
  }

  /**
   * Returns the age of the last snapshot, from which a {@link SnapshotPolicy} decides whether the
   * next one is due.
   */
  public final SnapshotAge snapshotAge() {
    return snapshotAge;
  }

  /** Returns whether the state lacks the effect of a record or snapshot of a newer version. */
  public final boolean lacksNewerChanges() {
    return lacksNewerChanges;
  }

  /**
   * Marks the state as lacking a change, because a record depends on rules that this version does
   * not know.
   */
  protected final void noteNewerChange() {
    lacksNewerChanges = true;
  }

  /**
   * Applies a record that is neither a duplicate nor a snapshot part. A record that does not fit
   * the state is void and changes nothing.
   */
  protected abstract void applyFirst(LogRecord entry);

  /** Creates the parts of a snapshot of the state. Only the first part contains the writers. */
  protected abstract List<P> createSnapshot(long upTo, List<WriterWindow> writers);

  /** Replaces the state by the state of a snapshot, whose parts are passed in order. */
  protected abstract void install(List<P> parts);

  private void applyOrKeep(LogRecord entry, boolean whole) {
    if (whole) {
      applyInOrder(entry);
    } else {
      assembly.keep(entry);
    }
  }

  private void onSnapshotPart(LogRecord entry, P part, boolean whole) {
    applyOrKeep(
        new LogRecord(entry.offset(), entry.appendedAt(), entry.id(), new ReplacedPart()), whole);
    Optional<List<P>> parts = assembly.add(entry.id().writer(), part);
    if (parts.isEmpty()) {
      return;
    }
    snapshotAge.noteSnapshot(entry, part.upTo());
    // A snapshot that a paused instance wrote, or that is read late, can be older than the state.
    // Installing it would move the state back. So a complete fold never installs a snapshot, and an
    // incomplete fold installs one only if the fold has every record after the snapshot.
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
    // An append whose answer was lost is resent, so the stream can contain a record twice, with the
    // same id. Applying both occurrences would repeat the effect of the record.
    if (!duplicates.isFirst(entry.id())) {
      return;
    }
    if (entry.body() instanceof UnknownRecord) {
      lacksNewerChanges = true;
    } else if (!(entry.body() instanceof ReplacedPart)) {
      applyFirst(entry);
    }
  }
}
