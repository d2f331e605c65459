package io.hawthornlb.core.catalogue.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.catalogue.Catalogue;
import io.hawthornlb.core.catalogue.CatalogueEdit;
import io.hawthornlb.core.catalogue.CatalogueSnapshot;
import io.hawthornlb.core.catalogue.EditOutcome;
import io.hawthornlb.core.catalogue.EditSummary;
import io.hawthornlb.core.catalogue.EditVerdict;
import io.hawthornlb.core.effect.AppendRecord;
import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.log.RecordId;
import io.hawthornlb.core.log.RecordIdSource;
import io.hawthornlb.core.log.UnknownRecord;
import io.hawthornlb.core.log.support.SnapshotPolicy;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.model.WorkspaceId;
import io.vavr.control.Either;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class CatalogueFoldTest {

  private static final int STEPS = 120;

  private final CatalogueFold fold = CatalogueHistory.fold();
  private final RecordIdSource ids = new RecordIdSource(new InstanceId("n"));

  @Property(tries = 200, seed = "20261202")
  void foldFromAnyRetainedOffsetEqualsAReplayOfTheWholeStream(
      @ForAll long seed, @ForAll @IntRange(max = 80) int percentExpired) {
    List<LogRecord> stream = new CatalogueHistory(seed, STEPS).stream();
    int first = stream.size() * percentExpired / 100;
    CatalogueFold late = CatalogueHistory.fold();
    late.restartAt(first);
    stream.subList(first, stream.size()).forEach(late::apply);

    Catalogue expected = late.complete() ? ReferenceCatalogue.replay(stream) : Catalogue.EMPTY;
    assertEquals(expected, late.current());
    if (late.complete()) {
      CatalogueFold whole = CatalogueHistory.fold();
      stream.forEach(whole::apply);
      assertEquals(whole.snapshot(), late.snapshot());
    }
  }

  // Guards against an accepted edit that is undone later: a snapshot that another instance made
  // before the edit stands behind the edit in the stream.
  @Property(tries = 100, seed = "20261202")
  void revisionsNeverDecrease(@ForAll long seed) {
    long revision = -1;
    CatalogueFold reader = CatalogueHistory.fold();
    for (LogRecord entry : new CatalogueHistory(seed, STEPS).stream()) {
      reader.apply(entry);
      assertTrue(reader.current().revision() >= revision);
      revision = reader.current().revision();
    }
  }

  @Test
  void aFoldThatInstallsEverySnapshotLosesRevisions() {
    List<LogRecord> stream = new CatalogueHistory(1, STEPS).stream();
    long highest = -1;
    int decreases = 0;
    for (int end = 1; end <= stream.size(); end++) {
      long revision = ReferenceCatalogue.withEverySnapshot(stream.subList(0, end)).revision();
      decreases += revision < highest ? 1 : 0;
      highest = Math.max(highest, revision);
    }
    assertTrue(decreases > 0);
  }

  // Guards against an edit that silently undoes another one: two operators change one workspace at
  // the same time, and without the base revision both would be told that their edit is in force.
  @Test
  void theSecondOfTwoConcurrentEditsLosesAndNamesTheFirst() {
    apply(edit("mine", -1, "ana").put(CatalogueHistory.workspace(1, 1)).build());
    apply(edit("yours", -1, "ben").put(CatalogueHistory.workspace(1, 2)).build());

    assertEquals(1, weight(fold.current()));
    EditOutcome lost = fold.outcome("yours").orElseThrow();
    assertEquals(EditVerdict.LOST, lost.verdict());
    assertEquals(Optional.of(new EditSummary("mine", "ana", 0)), lost.lostTo());
    assertEquals(EditVerdict.ACCEPTED, fold.outcome("mine").orElseThrow().verdict());
  }

  @Test
  void withoutTheBaseRevisionTheLastEditUndoesTheFirst() {
    CatalogueEdit first = edit("mine", -1, "ana").put(CatalogueHistory.workspace(1, 1)).build();
    CatalogueEdit second = edit("yours", -1, "ben").put(CatalogueHistory.workspace(1, 2)).build();
    List<LogRecord> stream = List.of(entry(0, first), entry(1, second));

    assertEquals(1, weight(ReferenceCatalogue.replay(stream)));
    assertEquals(2, weight(ReferenceCatalogue.lastEditWins(stream)));
  }

  @Test
  void anInvalidEditChangesNothingAndReportsAllFaults() {
    String hash = "0".repeat(64);
    apply(edit("first", -1, "ana").put(CatalogueHistory.workspace(1, 1, hash)).build());
    Catalogue before = fold.current();

    apply(
        edit("second", 0, " ")
            .put(CatalogueHistory.workspace(2, Double.POSITIVE_INFINITY, hash, "abc"))
            .put(CatalogueHistory.workspace(3, 1))
            .put(CatalogueHistory.workspace(3, 1))
            .remove(new WorkspaceId("ws-9"))
            .remove(new ServiceName("none"))
            .build());

    assertEquals(before, fold.current());
    EditOutcome outcome = fold.outcome("second").orElseThrow();
    assertEquals(EditVerdict.INVALID, outcome.verdict());
    assertEquals(
        List.of(
            "author",
            "removedServices[none]",
            "workspaces[ws-2].weight",
            "workspaces[ws-3]",
            "removedWorkspaces[ws-9]",
            "workspaces[ws-2].keyHashes[0]",
            "workspaces[ws-2].keyHashes[1]"),
        outcome.findings().stream().map(finding -> finding.path()).toList());
  }

  // Guards against an edit that loses to itself: the answer to the edit is lost, and the
  // operator's tool resends it through another entry instance. If the second answer were that the
  // edit has lost, the operator would make the edit once more.
  @Test
  void aResentEditKeepsItsOutcome() {
    CatalogueEdit edit = edit("mine", -1, "ana").put(CatalogueHistory.workspace(1, 1)).build();
    apply(edit);
    apply(edit);

    assertEquals(EditVerdict.ACCEPTED, fold.outcome("mine").orElseThrow().verdict());
    assertEquals(0, fold.current().revision());
  }

  // During an upgrade a newer version accepts edits by rules that this version does not know.
  @Test
  void keepsTheLastRevisionThatItUnderstands() {
    apply(edit("old", -1, "ana").put(CatalogueHistory.workspace(1, 1)).build());
    apply(edit("new", 0, "ana").rules(2).put(CatalogueHistory.workspace(1, 2)).build());
    apply(edit("next", 1, "ana").put(CatalogueHistory.workspace(1, 3)).build());

    assertEquals(0, fold.current().revision());
    assertTrue(fold.lacksNewerChanges());
    assertEquals(List.of(), fold.snapshot());
    assertTrue(fold.outcome("next").isEmpty());
  }

  @Test
  void continuesAfterARecordOfAnUnknownType() {
    apply(new UnknownRecord("newer"));
    apply(edit("e", -1, "ana").put(CatalogueHistory.workspace(1, 1)).build());

    assertEquals(1, fold.current().revision());
  }

  @Test
  void splitsALargeSnapshot() {
    CatalogueEdit.Builder edit = edit("all", -1, "ana");
    int entries = CatalogueFold.ENTRIES_PER_PART * 2 + 1;
    for (int number = 0; number < entries; number++) {
      edit.put(CatalogueHistory.workspace(number, 1));
    }
    apply(edit.build());
    List<CatalogueSnapshot> parts = fold.snapshot();
    assertEquals(3, parts.size());

    CatalogueFold late = CatalogueHistory.fold();
    late.restartAt(1);
    List<CatalogueSnapshot> shuffled = new ArrayList<>(parts);
    shuffled.add(0, shuffled.remove(2));
    shuffled.forEach(part -> late.apply(entry(late.nextOffset(), part)));

    assertTrue(late.complete());
    assertEquals(fold.current(), late.current());
    assertEquals(fold.outcome("all"), late.outcome("all"));
  }

  @Test
  void theEditorReturnsCertainOutcomesAtOnce() {
    DefaultCatalogueEditor editor =
        new DefaultCatalogueEditor(
            fold,
            new DefaultCatalogueChecker(),
            new RecordIdSource(new InstanceId("editor")),
            SnapshotPolicy.DEFAULT,
            () -> Instant.EPOCH);
    CatalogueEdit first = edit("a", -1, "ana").put(CatalogueHistory.workspace(1, 1)).build();
    Either<EditOutcome, AppendRecord> submitted = editor.submit(first);
    assertTrue(submitted.isRight());
    apply(submitted.get().body());

    assertEquals(EditVerdict.ACCEPTED, editor.submit(first).getLeft().verdict());
    assertEquals(EditVerdict.LOST, submit(editor, "b", -1).verdict());
    assertEquals(EditVerdict.INVALID, editor.submit(edit("c", 0, "").build()).getLeft().verdict());
    assertFalse(editor.submit(edit("d", 7, "ana").build()).isLeft());
  }

  private static EditOutcome submit(DefaultCatalogueEditor editor, String id, long base) {
    CatalogueEdit edit = edit(id, base, "ben").put(CatalogueHistory.workspace(2, 1)).build();
    return editor.submit(edit).getLeft();
  }

  private static CatalogueEdit.Builder edit(String id, long base, String author) {
    return CatalogueEdit.builder(id, base, author);
  }

  private static double weight(Catalogue catalogue) {
    return catalogue.workspace(new WorkspaceId("ws-1")).orElseThrow().weight();
  }

  private void apply(RecordBody body) {
    fold.apply(new LogRecord(fold.nextOffset(), Instant.EPOCH, ids.next(), body));
  }

  private static LogRecord entry(long offset, RecordBody body) {
    RecordId id = new RecordId(new InstanceId("other"), offset);
    return new LogRecord(offset, Instant.EPOCH, id, body);
  }
}
