package io.hawthornlb.gateway.job;

import io.hawthornlb.core.workspace.Workspace;
import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.front.FrontRequest;
import io.hawthornlb.gateway.front.JobRequestHandler;
import io.hawthornlb.gateway.front.NotRunStatuses;
import io.hawthornlb.gateway.front.Responder;
import io.hawthornlb.gateway.front.StatusMappingResponder;
import io.hawthornlb.gateway.http.HttpCallException;
import io.hawthornlb.gateway.http.HttpReply;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.IntPredicate;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Routes callers' requests about jobs to the holder of the job's partition, which answers them.
 *
 * <p>After all instances lost power, callers read their jobs at every instance. If each process
 * loaded the partitions of all jobs that it is asked about, through one store and over slow links,
 * no job could be read anywhere for a minute. The holder has read its partition anyway, and
 * forwarding a call to the holder costs one message in each direction.
 *
 * <p>The holder may be frozen, cut off or restarting, so that a forwarded call gets no reply. Then
 * the call goes to the partition's standby, which is the same for all processes. If the standby
 * does not reply either, this process answers the call itself. Each of these processes reads the
 * log before it says that a job or result does not exist.
 */
public final class JobRequestRouter implements JobRequestHandler {

  /**
   * Header with the size of the partition in bytes, set by a process that answers a forwarded call.
   */
  public static final String PARTITION_BYTES = "hawthornlb-partition-bytes";

  /**
   * Time allowed for a reply in addition to the call's own wait time, since the holder may have to
   * read the store first and may be busy.
   */
  private static final Duration REPLY_TIMEOUT = Duration.ofMillis(1_000);

  /**
   * Time allowed for the reply to a request to end a job, which the holder may have to append in
   * several attempts.
   */
  private static final Duration END_REPLY_TIMEOUT = Duration.ofMillis(3_300);

  /** Minimum time between two lookups of the holders in the store. */
  private static final Duration LOOKUP_PAUSE = Duration.ofMillis(300);

  /**
   * Minimum time for which a call waits until a holder is known, if the call itself allows no
   * longer wait. Processes that start join the group within this time.
   */
  private static final Duration HOLDER_WAIT = Duration.ofMillis(1_000);

  /** Retry delay that is sent to the caller while no holder is known. */
  private static final Duration NO_HOLDER_RETRY = Duration.ofMillis(400);

  private static final int READ_STATUS = 200;
  private static final int ACCEPTED_STATUS = 202;
  private static final int UNKNOWN_OUTCOME_STATUS = 502;

  private final JobReplicas replicas;
  private final JobService service;
  private final JobFormat format;
  private final JobHolders holders = new JobHolders();
  private final ReplicaRule replicaRule = new ReplicaRule();
  private final JobPeers peers;
  private final IntPredicate heldHere;
  private final HolderLookup holderLookup;
  private final ScheduledExecutorService executor;
  private final InstantSource clock;
  private final EventLog log;
  private @Nullable CompletableFuture<Void> lookup;
  private Instant lookedUpAt = Instant.MIN;

  /** Looks up the holders of the partitions in the store. */
  interface HolderLookup {

    /** Returns the holder of each partition. */
    CompletionStage<Map<Integer, String>> lookUp();
  }

  JobRequestRouter(
      JobReplicas replicas,
      JobService service,
      JobFormat format,
      JobPeers peers,
      IntPredicate heldHere,
      HolderLookup holderLookup,
      ScheduledExecutorService executor,
      InstantSource clock,
      EventLog log) {
    this.replicas = replicas;
    this.service = service;
    this.format = format;
    this.peers = peers;
    this.heldHere = heldHere;
    this.holderLookup = holderLookup;
    this.executor = executor;
    this.clock = clock;
    this.log = log;
  }

  /** Records that a process holds a partition under an epoch. */
  void onHeld(String name, int partition, long epoch) {
    holders.putUnlessOlder(partition, name, epoch);
  }

  @Override
  public Optional<String> namedJob(FrontRequest request) {
    return format.namedJob(request);
  }

  @Override
  public boolean submitsJob(FrontRequest request) {
    try {
      return format.call(request).filter(JobCall.Submit.class::isInstance).isPresent();
    } catch (IllegalArgumentException e) {
      // A request without a route may be anything.
      return false;
    }
  }

  @Override
  public Handling confirm(FrontRequest request, Responder responder) {
    Responder confirming =
        new StatusMappingResponder(
            responder, status -> status == READ_STATUS ? ACCEPTED_STATUS : status);
    return handle(format.existenceCheck(request), confirming);
  }

  @Override
  public Handling handle(FrontRequest request, Responder responder) {
    parse(request, responder).ifPresent(call -> route(call, request, responder));
    return () -> {};
  }

  /**
   * Answers a request that a peer has forwarded, from the jobs that this process reads itself.
   *
   * @return supplier of the number of bytes that this process has read of the partition
   */
  public LongSupplier answerLocally(FrontRequest request, Responder responder) {
    Optional<JobCall> call = parse(request, responder);
    call.ifPresent(known -> service.answer(known, request, responder));
    return () -> call.map(known -> replicas.bytes(replicas.partition(known.jobId()))).orElse(0L);
  }

  private Optional<JobCall> parse(FrontRequest request, Responder responder) {
    Optional<JobCall> call;
    try {
      call = format.call(request).map(parsed -> scoped(parsed, request));
    } catch (IllegalArgumentException e) {
      log.important("job", "call.unreadable")
          .with("job", format.namedJob(request).orElse(null))
          .with("cause", e.getMessage())
          .write();
      responder.sendStatus(400, null);
      return Optional.empty();
    }
    if (call.isEmpty()) {
      log.important("job", "call.unreadable").with("cause", "not about a job").write();
      responder.sendStatus(404, null);
    }
    return call;
  }

  /** Returns a call about the job of that id in the caller's workspace. */
  private static JobCall scoped(JobCall call, FrontRequest request) {
    Workspace workspace = request.workspace();
    String id = JobScope.storedId(call.jobId(), workspace == null ? null : workspace.id());
    return call.withJobId(id);
  }

  private void route(JobCall call, FrontRequest request, Responder responder) {
    int partition = replicas.partition(call.jobId());
    if (call instanceof JobCall.Submit || heldHere.test(partition) || readsLocally(partition)) {
      service.answer(call, request, responder);
    } else {
      new RoutedCall(call, partition, request, responder).start();
    }
  }

  /** Called when this process no longer holds a partition. */
  void released(int partition) {
    keepIfSmall(partition);
  }

  /** Returns whether this process itself reads a partition that it does not hold. */
  private boolean readsLocally(int partition) {
    return replicaRule.readsLocally(partition, peers.instances()) && keepIfSmall(partition);
  }

  /**
   * Discards what this process has read of a partition if the partition has grown too large;
   * returns whether the partition is small enough to keep.
   */
  private boolean keepIfSmall(int partition) {
    replicaRule.recordSize(partition, replicas.bytes(partition));
    boolean small = replicaRule.readsLocally(partition, peers.instances());
    if (!small) {
      replicas.forget(partition);
      log.important("job", "partition.grown").with("partition", partition).write();
    }
    return small;
  }

  /** Looks up the holders in the store; concurrent calls share one lookup. */
  private CompletableFuture<Void> lookUpHolders() {
    CompletableFuture<Void> running = lookup;
    if (running != null) {
      return running;
    }
    Instant now = clock.instant();
    if (now.isBefore(lookedUpAt.plus(LOOKUP_PAUSE))) {
      return CompletableFuture.completedFuture(null);
    }
    lookedUpAt = now;
    CompletableFuture<Void> started = new CompletableFuture<>();
    lookup = started;
    holderLookup
        .lookUp()
        .whenCompleteAsync(
            (found, failure) -> {
              lookup = null;
              if (failure == null) {
                holders.update(found);
                log.routine("job", "holders.told").with("holders", found.toString()).write();
              } else {
                log.important("job", "holders.unknown").with("cause", failure.toString()).write();
              }
              started.complete(null);
            },
            executor);
    return started;
  }

  /**
   * A call that is forwarded to the holder, then to the standby, and at last answered by this
   * process.
   */
  private final class RoutedCall {

    private final JobCall call;
    private final int partition;
    private final FrontRequest request;
    private final Deque<String> tried = new ArrayDeque<>();
    private Responder responder;

    private RoutedCall(JobCall call, int partition, FrontRequest request, Responder responder) {
      this.call = call;
      this.partition = partition;
      this.request = request;
      this.responder = responder;
    }

    private void start() {
      if (heldHere.test(partition)) {
        service.answer(call, request, responder);
      } else if (holders.find(partition).isPresent()) {
        next();
      } else {
        lookUpHolders().thenRunAsync(this::next, executor);
      }
    }

    private void next() {
      Optional<String> holder = holders.find(partition);
      if (holder.isEmpty() && tried.isEmpty()) {
        awaitHolder();
        return;
      }
      if (holder.filter(peers.self()::equals).isPresent()) {
        // This process is the new holder and is about to read the partition.
        service.answer(call, request, responder);
        return;
      }
      if (holder.isPresent() && mayForwardTo(holder.get())) {
        forwardTo(holder.get());
        return;
      }
      String missing = holder.orElseGet(tried::getFirst);
      Optional<String> standby = peers.standby(partition, missing);
      if (standby.isPresent() && mayForwardTo(standby.get())) {
        forwardTo(standby.get());
      } else {
        answerLocally();
      }
    }

    /**
     * Waits until the partition has a holder.
     *
     * <p>A partition without a holder means that all processes were restarted. If this process
     * loaded the partition now, that would delay the next holder's load.
     */
    private void awaitHolder() {
      Duration wait = call instanceof JobCall.Read read ? read.waitTime() : Duration.ZERO;
      Duration maxWait = wait.compareTo(HOLDER_WAIT) > 0 ? wait : HOLDER_WAIT;
      if (clock.instant().isBefore(request.arrived().plus(maxWait))) {
        executor.schedule(this::start, LOOKUP_PAUSE.toMillis(), TimeUnit.MILLISECONDS);
        return;
      }
      log.important("job", "job.unsure")
          .with("id", JobScope.callerId(call.jobId()))
          .with("status", 503)
          .with("cause", "no holder is known")
          .write();
      responder.sendStatus(503, NO_HOLDER_RETRY);
    }

    private boolean mayForwardTo(String name) {
      return !name.equals(peers.self()) && !tried.contains(name) && peers.reachable(name);
    }

    private void forwardTo(String name) {
      tried.add(name);
      peers
          .forward(name, request, timeout())
          .whenCompleteAsync(
              (reply, failure) -> {
                if (failure == null) {
                  send(name, reply);
                } else {
                  onNoReply(failure);
                  holders.remove(partition, name);
                  log.important("job", "holder.silent")
                      .with("id", JobScope.callerId(call.jobId()))
                      .with("instance", name)
                      .with("partition", partition)
                      .with("cause", failure.toString())
                      .write();
                  lookUpHolders().thenRunAsync(this::next, executor);
                }
              },
              executor);
    }

    /**
     * Handles a forwarded call that got no reply, since the other process may have carried it out.
     *
     * <p>A holder may write the end of a job and stop responding, and the store may refuse the next
     * process to which the call is forwarded. The caller would then be told that the job did not
     * end, though it did. Therefore a response after such a call never says that the call was not
     * carried out.
     */
    private void onNoReply(Throwable failure) {
      Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
      boolean unsent = cause instanceof HttpCallException made && made.unsent();
      if (call instanceof JobCall.End && !unsent) {
        responder =
            new StatusMappingResponder(
                responder,
                status -> NotRunStatuses.contains(status) ? UNKNOWN_OUTCOME_STATUS : status);
      }
    }

    private Duration timeout() {
      if (call instanceof JobCall.Read read) {
        return read.waitTime().plus(REPLY_TIMEOUT);
      }
      return call instanceof JobCall.End ? END_REPLY_TIMEOUT : REPLY_TIMEOUT;
    }

    private void send(String name, HttpReply reply) {
      HttpHeaders headers = new DefaultHttpHeaders();
      reply.headers().forEach(headers::set);
      String size = headers.get(PARTITION_BYTES);
      if (size != null) {
        headers.remove(PARTITION_BYTES);
        recordSize(name, size);
      }
      log.routine("job", "job.answered")
          .with("id", JobScope.callerId(call.jobId()))
          .with("instance", name)
          .with("status", reply.status())
          .write();
      responder.whole(reply.status(), headers, reply.body());
    }

    private void recordSize(String name, String size) {
      try {
        replicaRule.recordSize(partition, Long.parseLong(size));
      } catch (NumberFormatException e) {
        // The reply is passed to the caller all the same. The size only decides which process reads
        // the partition from now on.
        log.important("job", "partition.size.unreadable").with("instance", name).write();
      }
    }

    private void answerLocally() {
      log.important("job", "job.answered.here")
          .with("id", JobScope.callerId(call.jobId()))
          .with("partition", partition)
          .with("tried", tried.toString())
          .write();
      service.answer(call, request, responder);
    }
  }
}
