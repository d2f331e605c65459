package io.hawthornlb.app.entry;

import io.hawthornlb.app.settings.EntrySettings;
import io.hawthornlb.core.catalogue.CatalogueChecker;
import io.hawthornlb.core.catalogue.CatalogueEdit;
import io.hawthornlb.core.catalogue.CatalogueEditor;
import io.hawthornlb.core.catalogue.CatalogueView;
import io.hawthornlb.core.catalogue.EditOutcome;
import io.hawthornlb.core.catalogue.support.CatalogueFold;
import io.hawthornlb.core.catalogue.support.DefaultCatalogueChecker;
import io.hawthornlb.core.catalogue.support.DefaultCatalogueEditor;
import io.hawthornlb.core.claim.ClaimManager;
import io.hawthornlb.core.claim.ClaimView;
import io.hawthornlb.core.claim.support.ClaimFold;
import io.hawthornlb.core.claim.support.ClaimSettings;
import io.hawthornlb.core.claim.support.DefaultClaimManager;
import io.hawthornlb.core.claim.support.ImmediatePlacementPolicy;
import io.hawthornlb.core.effect.AppendRecord;
import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.RecordIdSource;
import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.core.log.support.SnapshotPolicy;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.net.platform.MissedRecordSource;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** What all instances agree on through the log: the catalogue and who holds which partition. */
public final class ControlPlane {

  private static final System.Logger LOG = System.getLogger(ControlPlane.class.getName());

  private static final Duration EDIT_PAUSE = Duration.ofMillis(10);

  private final LogAccess log;
  private final DecisionLoop loop;
  private final CatalogueHolder holder;
  private final CatalogueFold catalogue;
  private final CatalogueEditor editor;
  private final ClaimFold claimFold;
  private final ClaimManager claims;
  private final List<Runnable> claimListeners = new ArrayList<>();

  /** Creates the control plane of an instance. */
  public ControlPlane(
      EntrySettings settings,
      LogAccess log,
      DecisionLoop loop,
      RecordIdSource ids,
      CatalogueHolder holder,
      InstantSource clock) {
    this.log = log;
    this.loop = loop;
    this.holder = holder;
    CatalogueChecker checker = new DefaultCatalogueChecker();
    this.catalogue = new CatalogueFold(checker);
    this.editor =
        new DefaultCatalogueEditor(catalogue, checker, ids, SnapshotPolicy.DEFAULT, clock);
    this.claimFold = new ClaimFold(settings.claims().partitions());
    this.claims =
        new DefaultClaimManager(
            claimFold,
            ids,
            settings.instance().dataCentre(),
            new ImmediatePlacementPolicy(),
            clock,
            ClaimSettings.of(settings.claims().renew(), settings.claims().silence()));
  }

  /** Begins to follow both streams. */
  public void start(MissedRecordSource missed) {
    log.follow(StreamName.CATALOGUE, catalogue, missed, (stream, entry) -> catalogueRead());
    log.follow(StreamName.CLAIMS, claimFold, missed, (stream, entry) -> claimRead(entry));
  }

  /** Adds a task that runs whenever claims may have changed; on the loop. */
  public void onClaims(Runnable listener) {
    claimListeners.add(listener);
  }

  /** Renews, claims and writes snapshots as time calls for; on the loop. */
  public void tick() {
    appendAll(claims.onTick());
    appendAll(editor.onTick(claims.isPreferredSnapshotWriter(StreamName.CATALOGUE)));
  }

  /** Takes the instances that the platform lists; on the loop. */
  public void onListed(Set<InstanceId> listed) {
    claims.onListed(listed);
  }

  /** Hands over all claims; on the loop. */
  public void stop() {
    appendAll(claims.stop());
  }

  /** Returns whether all claims have been handed over; on the loop. */
  public boolean stopped() {
    return claims.stopped();
  }

  /** Returns the current claims; on the loop. */
  public ClaimView claimView() {
    return claimFold;
  }

  /** Returns the claims' decider; on the loop. */
  public ClaimManager claims() {
    return claims;
  }

  /** Returns the catalogue with the outcomes of its edits; on the loop. */
  public CatalogueView catalogueView() {
    return catalogue;
  }

  /** Takes an edit to the log and returns what became of it. */
  public CompletionStage<EditOutcome> edit(CatalogueEdit edit) {
    CompletableFuture<EditOutcome> result = new CompletableFuture<>();
    loop.execute(() -> submit(edit, result));
    return result;
  }

  private void submit(CatalogueEdit edit, CompletableFuture<EditOutcome> result) {
    Either<EditOutcome, AppendRecord> decided = editor.submit(edit);
    if (decided.isLeft()) {
      result.complete(decided.getLeft());
      return;
    }
    log.append(decided.get())
        .whenComplete(
            (offset, failure) ->
                loop.execute(
                    () -> {
                      if (failure != null) {
                        result.completeExceptionally(failure);
                      } else {
                        awaitOutcome(edit.editId(), offset, result);
                      }
                    }));
  }

  private void awaitOutcome(String editId, long offset, CompletableFuture<EditOutcome> result) {
    if (catalogue.nextOffset() > offset) {
      catalogue
          .outcome(editId)
          .ifPresentOrElse(
              result::complete,
              () -> result.completeExceptionally(new UnknownEditException(editId)));
      return;
    }
    loop.after(EDIT_PAUSE, () -> awaitOutcome(editId, offset, result));
  }

  private void appendAll(List<AppendRecord> effects) {
    for (AppendRecord effect : effects) {
      log.append(effect)
          .exceptionally(
              failure -> {
                LOG.log(
                    System.Logger.Level.WARNING,
                    "log: a record of stream {0} was given up",
                    effect.stream());
                return -1L;
              });
    }
  }

  private void catalogueRead() {
    if (catalogue.complete()) {
      holder.update(catalogue.current());
    }
  }

  private void claimRead(LogRecord entry) {
    claims.onRecord(entry);
    claimListeners.forEach(Runnable::run);
  }
}
