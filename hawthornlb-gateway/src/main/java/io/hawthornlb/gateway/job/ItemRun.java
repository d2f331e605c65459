package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.event.EventLine;
import io.hawthornlb.gateway.loop.WorkKind;
import io.hawthornlb.gateway.route.Route;
import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import io.hawthornlb.gateway.wire.EndpointCall;
import io.hawthornlb.gateway.wire.EndpointCallListener;
import io.hawthornlb.gateway.wire.EventSplitter;
import io.hawthornlb.gateway.wire.SilenceWatch;
import io.hawthornlb.gateway.wire.StreamEvent;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Runs one item until it is done: gives way when its slot is revoked, and goes on after the last
 * whole event at whatever endpoint is free next.
 */
final class ItemRun implements AskWindow.Asker, SilenceWatch.Listener {

  /** Time that an item waits at a coordinator before it asks anew, in case that one is gone. */
  private static final Duration SLOT_WAIT = Duration.ofSeconds(2);

  /** Pause before a slot is asked for again after a refusal or a failure. */
  private static final Duration PAUSE = Duration.ofMillis(100);

  /** Silence after which a stream is taken for lost. */
  private static final SilenceWatch.Limits SILENCE =
      new SilenceWatch.Limits(Duration.ofSeconds(2), Duration.ofSeconds(2));

  private final JobParts parts;
  private final Job job;
  private final JobItem item;
  private final Instant due;
  private final ItemOutcome outcome;
  private final AskWindow window;
  private final SilenceWatch watch;
  private final RunEstimate estimate;
  private final ItemOutput output;
  private final Set<EndpointIncarnation> excluded = new HashSet<>();
  private Duration ran = Duration.ZERO;
  private @Nullable Instant sentAt;
  private int failures;
  private @Nullable SlotKey slot;
  private @Nullable EndpointCall call;
  private Instant lastEvent;
  private boolean asking;
  private boolean stopped;

  ItemRun(
      JobParts parts,
      Job job,
      JobItem item,
      long epoch,
      Instant due,
      RunEstimate estimate,
      AskWindow window,
      ItemOutcome outcome) {
    this.output = new ItemOutput(item.id(), job.progress(item.id()), epoch);
    this.estimate = estimate;
    this.failures = job.failures(item.id());
    this.parts = parts;
    this.job = job;
    this.item = item;
    this.due = due;
    this.outcome = outcome;
    this.window = window;
    this.lastEvent = parts.clock().instant();
    this.watch = new SilenceWatch(parts.executor(), parts.clock(), SILENCE, () -> lastEvent, this);
  }

  void start() {
    acquire();
  }

  /** Ends the run at once. */
  void stop() {
    stopped = true;
    window.withdraw(this);
    leaveWindow();
    end(SlotOutcome.ABANDONED);
  }

  /** Returns whether the item has not ended. */
  boolean running() {
    return !stopped;
  }

  /** Returns the job that the item is part of. */
  Job job() {
    return job;
  }

  /** Returns what the item has gained since the last call, if that is at least some events. */
  Optional<JobRecords.Gained> gained(long leastEvents) {
    return output.gained(leastEvents);
  }

  private void acquire() {
    if (!stopped) {
      window.enter(this);
    }
  }

  @Override
  public long rank() {
    return estimate.rank(due, output.lastEventId(), parts.clock().instant());
  }

  @Override
  public void ask() {
    Optional<Route> route = route();
    if (route.isEmpty()) {
      // The route is gone for now; a later configuration may bring it back.
      window.left();
      again(SLOT_WAIT);
      return;
    }
    asking = true;
    SlotKey key = parts.slots().nextKey();
    slot = key;
    SlotRequest wanted =
        new SlotRequest(
            key,
            route.get().service(0),
            true,
            due.toEpochMilli(),
            estimate.left(output.lastEventId()),
            parts.dataCentre(),
            SLOT_WAIT,
            SLOT_WAIT,
            0,
            Set.copyOf(excluded));
    excluded.clear();
    parts.slots().acquire(wanted, this::onSlot);
  }

  private Optional<Route> route() {
    return parts.config().current().flatMap(config -> config.match(job.host(), item.path()));
  }

  private void onSlot(SlotAnswer answer) {
    if (stopped) {
      return;
    }
    leaveWindow();
    if (answer instanceof SlotAnswer.Granted granted) {
      send(granted.life());
    } else if (answer instanceof SlotAnswer.Revoked) {
      parts.metrics().count("items", "gave way");
      line("item.gave.way").write();
      slot = null;
      end(SlotOutcome.ABANDONED);
      acquire();
    } else {
      slot = null;
      again(PAUSE);
    }
  }

  private void leaveWindow() {
    if (asking) {
      asking = false;
      window.left();
    }
  }

  private void send(EndpointIncarnation life) {
    Optional<EndpointRecord> target = parts.directory().find(life.id());
    if (target.isEmpty() || target.get().leaving()) {
      excluded.add(life);
      end(SlotOutcome.REPLACED);
      again(PAUSE);
      return;
    }
    lastEvent = parts.clock().instant();
    sentAt = lastEvent;
    line("item.sent").with("endpoint", life.id()).with("after", output.lastEventId()).write();
    call = parts.pool().send(life, target.get().address(), outgoing(life.id()), new Answer(life));
    watch.start();
  }

  private FullHttpRequest outgoing(String endpointId) {
    HttpHeaders headers = new DefaultHttpHeaders();
    item.headers().forEach(headers::set);
    headers.set(HttpHeaderNames.HOST, job.host());
    headers.set(parts.names().requestId(), item.id());
    headers.set(parts.names().expectedEndpoint(), endpointId);
    headers.set(HttpHeaderNames.CONTENT_LENGTH, item.body().length);
    if (output.lastEventId() >= 0) {
      headers.set(parts.names().lastEventId(), output.lastEventId());
    }
    return new DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1,
        HttpMethod.POST,
        item.path(),
        Unpooled.wrappedBuffer(item.body()),
        headers,
        new DefaultHttpHeaders());
  }

  @Override
  public void suspicious(Duration silence) {
    // An item has time; online requests find out whether the endpoint is silent.
  }

  @Override
  public boolean stalled(Duration silence) {
    line("item.stalled").with("after", output.lastEventId()).write();
    end(SlotOutcome.FAILED);
    again(PAUSE);
    return false;
  }

  private void again(Duration pause) {
    parts.executor().schedule(this::acquire, pause.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void end(SlotOutcome how) {
    if (sentAt != null) {
      ran = ran.plus(Duration.between(sentAt, parts.clock().instant()));
      sentAt = null;
    }
    watch.stop();
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

  private void completed() {
    end(SlotOutcome.ANSWERED);
    stopped = true;
    estimate.done(ran, output.lastEventId());
    parts.metrics().count("items", "completed");
    parts.metrics().time("items.run", "completed", ran);
    line("item.completed").with("events", output.lastEventId()).write();
    outcome.done(item, new JobResult(item.id(), true, output.text()));
  }

  private void failedWith(int status) {
    failures += status == 500 ? 1 : 0;
    // A route that is gone for now may come back, and allow more.
    int maxAttempts = route().map(Route::maxAttempts).orElse(Integer.MAX_VALUE);
    end(SlotOutcome.ANSWERED);
    parts.metrics().count("items.failed", String.valueOf(status));
    line("item.failed").with("status", status).with("failures", failures).write();
    if (ItemRules.after(status, failures, maxAttempts) == ItemRules.Next.GIVE_UP) {
      stopped = true;
      outcome.done(item, new JobResult(item.id(), false, ""));
    } else {
      outcome.failed(item, failures);
      again(PAUSE);
    }
  }

  private EventLine line(String event) {
    return parts.log().routine("job", event).with("id", item.id()).with("job", job.id());
  }

  /** Takes the answer of one endpoint. */
  private final class Answer implements EndpointCallListener {

    private final EndpointIncarnation life;
    private final EventSplitter splitter = new EventSplitter();
    private int status;
    private boolean notRun;
    private boolean begun;
    private boolean strayed;
    private boolean proven;

    private Answer(EndpointIncarnation life) {
      this.life = life;
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
        parts
            .names()
            .load()
            .read(response.headers())
            .filter(load -> load.waiting() > 0)
            .ifPresent(load -> parts.slots().told(held, load));
      }
      notRun = response.headers().contains(parts.names().notRun()) || status == 421;
      proven =
          response.headers().contains(parts.names().signature())
              && !response.headers().contains(HttpHeaderNames.CONTENT_ENCODING);
    }

    @Override
    public void onContent(ByteBuf content) {
      if (status == 200 && proven) {
        splitter.feed(content).forEach(this::take);
      }
    }

    private void take(StreamEvent event) {
      if (strayed) {
        return;
      }
      if (output.strays(event, !begun)) {
        strayed = true;
        onFailure(true, "event " + event.id() + " follows " + output.lastEventId());
        return;
      }
      begun |= event.id() >= 0;
      if (output.take(event)) {
        lastEvent = parts.clock().instant();
      }
    }

    @Override
    public void onEnd() {
      if (notRun) {
        excluded.add(life);
        end(status == 421 ? SlotOutcome.REPLACED : SlotOutcome.SHED);
        again(PAUSE);
      } else if (status == 200 && proven && !splitter.hasPartialEvent()) {
        completed();
      } else if (status == 200) {
        onFailure(true, "the answer is torn or bears no proof");
      } else {
        // Another endpoint may do what this one fails at.
        excluded.add(life);
        failedWith(status);
      }
    }

    @Override
    public void onFailure(boolean sent, String cause) {
      line("item.broken").with("endpoint", life.id()).with("cause", cause).write();
      excluded.add(life);
      end(sent ? SlotOutcome.FAILED : SlotOutcome.UNREACHED);
      again(PAUSE);
    }
  }
}
