package io.hawthornlb.net.platform.support;

import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.log.SnapshotPart;
import io.hawthornlb.core.log.WriterWindow;
import io.hawthornlb.core.log.support.AbstractStreamFold;
import io.hawthornlb.net.codec.TypeRegistry;
import java.util.ArrayList;
import java.util.List;

/** Fold that collects the numbers of all notes in stream order. */
final class NoteFold extends AbstractStreamFold<NoteFold.NoteSnapshot> {

  record Note(int number) implements RecordBody {}

  record NoteSnapshot(
      int version,
      long upTo,
      int part,
      int parts,
      List<WriterWindow> writers,
      List<Integer> numbers)
      implements SnapshotPart {}

  static final RecordCodec CODEC =
      new RecordCodec(
          TypeRegistry.<RecordBody>builder()
              .register("note", Note.class)
              .register("note-snapshot", NoteSnapshot.class)
              .build());

  private volatile List<Integer> numbers = List.of();

  NoteFold() {
    super(NoteSnapshot.class, 1);
  }

  List<Integer> numbers() {
    return numbers;
  }

  @Override
  protected void applyFirst(LogRecord entry) {
    int number = ((Note) entry.body()).number();
    if (number < 0) {
      throw new IllegalStateException("simulated failure of the fold");
    }
    List<Integer> more = new ArrayList<>(numbers);
    more.add(number);
    numbers = more;
  }

  @Override
  protected List<NoteSnapshot> createSnapshot(long upTo, List<WriterWindow> writers) {
    return List.of(new NoteSnapshot(1, upTo, 0, 1, writers, numbers));
  }

  @Override
  protected void install(List<NoteSnapshot> parts) {
    numbers = parts.get(0).numbers();
  }
}
