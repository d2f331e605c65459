package io.hawthornlb.gateway.job;

import io.hawthornlb.core.crash.CrashBlock;
import io.hawthornlb.core.crash.PromptParts;
import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.work.WorkSize;
import io.hawthornlb.gateway.crash.ContentHash;
import io.hawthornlb.gateway.crash.GuardedRun;
import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.loop.WorkKind;
import io.hawthornlb.gateway.route.Route;
import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import io.hawthornlb.gateway.stream.StreamOrigin;
import io.hawthornlb.gateway.stream.StreamVersion;
import io.hawthornlb.gateway.wire.AnswerFraming;
import io.hawthornlb.gateway.wire.AnswerPart;
import io.hawthornlb.gateway.wire.EndpointCall;
import io.hawthornlb.gateway.wire.EndpointCallListener;
import io.hawthornlb.gateway.wire.ReportedLoad;
import io.hawthornlb.gateway.wire.SilenceWatch;
import io.hawthornlb.gateway.wire.StreamEvent;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Runs one item until it completes or is given up.
 *
 * <p>If the coordinator revokes the item's slot, the run stops and waits for another slot. The next
 * attempt continues after the last complete event, at whichever endpoint is free.
 */
final class ItemRun implements SlotRequestLimiter.Requester, SilenceWatch.Listener {

  /**
   * Time that an item waits at a coordinator before it sends its slot request again, in case that
   * coordinator is gone.
   */
  private static final Duration SLOT_WAIT = Duration.ofSeconds(2);

  /** Pause before the next slot request after a refusal or a failure. */
  private static final Duration PAUSE = Duration.ofMillis(100);

  /** Silence after which a stream is considered lost. */
  private static final SilenceWatch.Limits SILENCE =
      new SilenceWatch.Limits(Duration.ofSeconds(2), Duration.ofSeconds(2));

  private final JobParts parts;
  private final Job job;
  private final JobItem item;
  private final ItemRoute route;
  private final ItemLines lines;
  private final ItemOutcome outcome;
  private final SlotRequestLimiter limiter;
  private final SilenceWatch watch;
  private final ItemRunTime runTime;
  private final ItemOutput output;
  private final CompletionRank completionRank;
  private final StreamVersion version;
  private final Set<EndpointIncarnation> excluded = new HashSet<>();
  private final GuardedRun guarded;
  private Duration ran = Duration.ZERO;
  private Duration lastRan = Duration.ZERO;
  private boolean sentWhole;
  private @Nullable Instant sentAt;
  private int failures;
  private @Nullable SlotKey slot;
  private @Nullable EndpointCall call;
  private Instant lastEventAt;
  private boolean requesting;
  private boolean stopped;

  ItemRun(
      JobParts parts,
      Job job,
      JobItem item,
      long epoch,
      RunEstimate estimate,
      SlotRequestLimiter limiter,
      ItemOutcome outcome) {
    this.output = new ItemOutput(item.id(), job.progress(item.id()), epoch);
    this.version = new StreamVersion(parts.directory(), output.origin());
    PromptParts prompt = parts.names().promptParts().read(item.headers()::get);
    long content = ContentHash.of(item.path(), item.body());
    this.guarded = new GuardedRun(parts.crashes(), item.id(), prompt.withContent(content));
    this.failures = job.failures(item.id());
    this.parts = parts;
    this.job = job;
    this.item = item;
    this.route = new ItemRoute(parts.config(), job, item);
    this.lines = new ItemLines(parts, job, item);
    WorkSize size = parts.names().workSize().read(item.headers()::get);
    WorkspaceId workspace = job.workspace().orElse(null);
    this.runTime = new ItemRunTime(parts.estimates(), estimate, route, size, workspace);
    this.completionRank = new CompletionRank(job, route, runTime, parts.clock());
    this.outcome = outcome;
    this.limiter = limiter;
    this.lastEventAt = parts.clock().instant();
    this.watch =
        new SilenceWatch(parts.executor(), parts.clock(), SILENCE, () -> lastEventAt, this);
  }

  void start() {
    acquire();
  }

  /** Stops the run immediately, without a result. */
  void stop() {
    stopped = true;
    limiter.withdraw(this);
    leaveLimiter();
    end(SlotOutcome.ABANDONED);
  }

  /** Returns whether the run has neither ended nor been stopped. */
  boolean running() {
    return !stopped;
  }

  /** Returns the route of the item. */
  ItemRoute route() {
    return route;
  }

  /** Returns whether an endpoint works on the item. */
  boolean executing() {
    return call != null;
  }

  /** Stops the run because the item is given up. */
  void giveUp(String cause) {
    lines.givenUp(cause, failures);
    stop();
  }

  JobItem item() {
    return item;
  }

  /** Returns the job to which the item belongs. */
  Job job() {
    return job;
  }

  /**
   * Returns the progress since the last call that returned some, if it has at least {@code
   * minEvents} events.
   */
  Optional<JobRecords.Progress> newProgress(long minEvents) {
    return output.newProgress(minEvents);
  }

  private void acquire() {
    if (!stopped) {
      limiter.enter(this);
    }
  }

  @Override
  public long rank() {
    if (parts.scheduling().contended()) {
      return completionRank.value();
    }
    return RunEstimate.rank(
        route.due(), runTime.remaining(output.lastEventId()), parts.clock().instant());
  }

  @Override
  public void requestSlot() {
    Optional<Route> found = route.find();
    if (found.isEmpty()) {
      // A later configuration may have a route for the item.
      lines.routine("item.without.route").write();
      limiter.leave();
      retryAfter(SLOT_WAIT);
      return;
    }
    if (heldBack(guarded.check())) {
      limiter.leave();
      return;
    }
    beginAnewIfVersionGone(found.get().service(0));
    requesting = true;
    SlotKey key = parts.slots().nextKey();
    slot = key;
    SlotRequest wanted =
        SlotRequest.builder(key, found.get().service(0))
            .batch(true)
            .rank(
                parts.scheduling().contended()
                    ? completionRank.value()
                    : route.due().toEpochMilli())
            .work(runTime.remaining(output.lastEventId()))
            .dataCentre(parts.dataCentre())
            .maxWait(SLOT_WAIT)
            .excluded(Set.copyOf(excluded))
            .size(output.lastEventId() < 0 ? runTime.size() : WorkSize.NONE)
            .version(version.origin().map(StreamOrigin::version).orElse(null))
            .build();
    excluded.clear();
    parts.slots().acquire(wanted, this::onSlot);
  }

  /**
   * Returns whether the item waits, since endpoints crashed under it or under requests that share a
   * part with it. It is owed all the same, and asks again until a probe of the parts is due.
   */
  private boolean heldBack(Optional<CrashBlock> block) {
    block.ifPresent(
        found -> {
          lines.blocked(found);
          Duration untilProbe = found.retryAfter();
          retryAfter(untilProbe.compareTo(SLOT_WAIT) < 0 ? untilProbe : SLOT_WAIT);
        });
    return block.isPresent();
  }

  /** Discards the output if no listed endpoint of the service may continue it. */
  private void beginAnewIfVersionGone(String service) {
    // A list without any endpoint tells nothing of the version, and none could begin the item anew.
    List<EndpointRecord> usable = parts.directory().usable(service);
    boolean gone = !usable.isEmpty() && usable.stream().noneMatch(version::accepts);
    if (output.lastEventId() >= 0 && (gone || !version.mayContinue())) {
      lines.begunAnew(version.origin(), output.lastEventId());
      output.restart();
      version.reset();
    }
  }

  private void onSlot(SlotAnswer answer) {
    if (stopped) {
      return;
    }
    leaveLimiter();
    if (answer instanceof SlotAnswer.Granted granted && limiter.isOpen()) {
      send(granted.incarnation());
    } else if (answer instanceof SlotAnswer.Granted) {
      end(SlotOutcome.ABANDONED);
      acquire();
    } else if (answer instanceof SlotAnswer.Revoked) {
      parts.metrics().count("items", "gave way");
      lines.routine("item.gave.way").write();
      slot = null;
      end(SlotOutcome.ABANDONED);
      acquire();
    } else {
      slot = null;
      retryAfter(PAUSE);
    }
  }

  private void leaveLimiter() {
    if (requesting) {
      requesting = false;
      limiter.leave();
    }
  }

  private void send(EndpointIncarnation incarnation) {
    if (heldBack(guarded.admit())) {
      end(SlotOutcome.ABANDONED);
      return;
    }
    Optional<EndpointRecord> target = parts.directory().find(incarnation.id());
    boolean otherVersion = target.isPresent() && !version.accepts(target.get());
    if (target.isPresent() && !route.leadsTo(target.get().service())) {
      // The route was removed or led to another service while the item waited for its slot.
      end(SlotOutcome.ABANDONED);
      retryAfter(PAUSE);
      return;
    }
    if (target.isEmpty() || target.get().leaving() || otherVersion) {
      excluded.add(incarnation);
      end(otherVersion ? SlotOutcome.ABANDONED : SlotOutcome.REPLACED);
      retryAfter(PAUSE);
      return;
    }
    lastEventAt = parts.clock().instant();
    sentAt = lastEventAt;
    sentWhole = output.lastEventId() < 0;
    version.sentTo(target.get());
    guarded.sentTo(incarnation, target.get().address());
    lines
        .routine("item.sent")
        .with("endpoint", incarnation.id())
        .with("version", target.get().version())
        .with("after", output.lastEventId())
        .with("probe", String.valueOf(guarded.probing()))
        .write();
    call =
        parts
            .pool()
            .send(
                incarnation,
                target.get().address(),
                ItemRequest.of(job, item, incarnation.id(), output.lastEventId(), parts.names()),
                new ResponseListener(incarnation));
    watch.start();
  }

  @Override
  public void suspicious(Duration silence) {
    // A batch item can wait. Online requests detect whether the endpoint is silent.
  }

  @Override
  public boolean stalled(Duration silence) {
    lines.routine("item.stalled").with("after", output.lastEventId()).write();
    end(SlotOutcome.FAILED);
    retryAfter(PAUSE);
    return false;
  }

  private void retryAfter(Duration pause) {
    parts.executor().schedule(this::acquire, pause.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void end(SlotOutcome how) {
    if (sentAt != null) {
      lastRan = Duration.between(sentAt, parts.clock().instant());
      ran = ran.plus(lastRan);
      sentAt = null;
    }
    watch.stop();
    guarded.end();
    if (call != null) {
      if (how != SlotOutcome.ANSWERED) {
        call.abort();
      }
      call = null;
    }
    if (slot != null) {
      parts.slots().release(slot, how);
      slot = null;
    }
  }

  private void complete() {
    end(SlotOutcome.ANSWERED);
    stopped = true;
    runTime.completed(ran, lastRan, sentWhole, output.lastEventId());
    parts.metrics().count("items", "completed");
    parts.metrics().time("items.run", "completed", ran);
    lines.routine("item.completed").with("events", output.lastEventId()).write();
    outcome.done(item, new JobResult(item.id(), true, output.text()));
  }

  private void failWithStatus(int status) {
    failures += status == 500 ? 1 : 0;
    boolean givenUp =
        ItemRules.afterFailure(status, failures, route.maxAttempts()) == ItemRules.Next.GIVE_UP;
    lines.failed(status, failures, givenUp, call, sentAt);
    end(SlotOutcome.ANSWERED);
    if (givenUp) {
      stopped = true;
      outcome.done(item, new JobResult(item.id(), false, ""));
    } else {
      outcome.endpointFailed(item, failures);
      retryAfter(PAUSE);
    }
  }

  /** Handles the response of one endpoint. */
  private final class ResponseListener implements EndpointCallListener {

    private final EndpointIncarnation incarnation;
    private final ItemAnswerBytes bytes = new ItemAnswerBytes();
    private int status;
    private boolean notRun;
    private boolean begun;
    private boolean admitted;
    private boolean outOfSequence;
    private boolean signed;
    private boolean framed;

    private ResponseListener(EndpointIncarnation incarnation) {
      this.incarnation = incarnation;
    }

    @Override
    public WorkKind work() {
      return WorkKind.ITEM;
    }

    @Override
    public void onResponse(HttpResponse response) {
      status = response.status().code();
      SlotKey held = slot;
      if (held != null) {
        parts.names().load().read(response.headers()).ifPresent(load -> reportLoad(held, load));
      }
      framed = AnswerFraming.isFramed(response);
      notRun = response.headers().contains(parts.names().notRun()) || status == 421;
      signed =
          response.headers().contains(parts.names().signature())
              && !response.headers().contains(HttpHeaderNames.CONTENT_ENCODING);
    }

    private void reportLoad(SlotKey held, ReportedLoad load) {
      if (load.hasPace()) {
        route.find().ifPresent(found -> parts.estimates().paceReported(found.service(0)));
      }
      parts.slots().reportLoad(held, load);
    }

    @Override
    public void onContent(ByteBuf content) {
      if (status == 200 && signed) {
        bytes.feed(content).forEach(this::take);
      } else {
        bytes.discard(content);
      }
      bytes.tooLong(output).ifPresent(this::endTooLong);
    }

    private void endTooLong(AnswerPart part) {
      if (output.tooLong()) {
        output.restart();
        version.reset();
      }
      if (call != null) {
        call.endTooLong(part, bytes.count(part));
      }
    }

    private void take(StreamEvent event) {
      if (!event.isComment()) {
        guarded.begun();
      }
      if (outOfSequence) {
        return;
      }
      if (!admitted && !admit()) {
        outOfSequence = true;
        onFailure(true, "the events are those of another version");
        return;
      }
      if (output.breaksSequence(event, !begun)) {
        outOfSequence = true;
        onFailure(true, "event " + event.id() + " does not follow event " + output.lastEventId());
        return;
      }
      begun |= event.id() >= 0;
      if (output.append(event) && event.id() >= 0) {
        lastEventAt = parts.clock().instant();
      }
    }

    private boolean admit() {
      admitted = version.admitsFirstEvent();
      if (admitted) {
        output.writtenBy(version.origin().orElse(null));
      }
      return admitted;
    }

    @Override
    public void onEnd() {
      boolean whole = !bytes.hasPartialEvent() && (framed || guarded.hasBegun());
      if (notRun) {
        guarded.notRun();
        excluded.add(incarnation);
        end(status == 421 ? SlotOutcome.REPLACED : SlotOutcome.SHED);
        retryAfter(PAUSE);
      } else if (status == 200 && signed && whole) {
        complete();
      } else if (status == 200) {
        onFailure(true, "the response is incomplete or not signed");
      } else {
        // Another endpoint may complete the item that this one fails at.
        excluded.add(incarnation);
        failWithStatus(status);
      }
    }

    @Override
    public void onFailure(boolean sent, String cause) {
      lines.broken(incarnation.id(), cause);
      if (sent) {
        guarded.broken();
      } else {
        guarded.notRun();
      }
      excluded.add(incarnation);
      end(sent ? SlotOutcome.FAILED : SlotOutcome.UNREACHED);
      retryAfter(PAUSE);
    }
  }
}
