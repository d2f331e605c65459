package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.front.FrontRequest;
import io.hawthornlb.gateway.front.JobRequestHandler;
import io.hawthornlb.gateway.front.Responder;
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
 * Takes callers' requests about jobs and has the holder of the job's partition answer them.
 *
 * <p>Load pattern: after all instances lost power, callers read their jobs at every one of them. If
 * each loads the partitions it is asked for, through one store and over slow links, no job can be
 * read anywhere for a minute. A holder has read its partition anyway, and asking it takes one
 * message there and back.
 *
 * <p>Failure: the holder is frozen, cut off or restarting. It shows as a call without an answer.
 * Guard: the call goes to the partition's deputy, the same for all processes, and at last is
 * answered here; whoever answers reads the log before it says that there is nothing.
 */
public final class JobDesk implements JobRequestHandler {

  /** Header by which whoever answers a peer tells how large the partition is. */
  public static final String PARTITION_BYTES = "hawthornlb-partition-bytes";

  /**
   * Added to the time that a call may wait by itself: the holder may have to ask the store first,
   * and may be busy.
   */
  private static final Duration ANSWER_TIME = Duration.ofMillis(1_000);

  /** The same for the end of a job, which the holder may have to append in several tries. */
  private static final Duration END_TIME = Duration.ofMillis(3_300);

  /** Pause between two questions to the store for the holders. */
  private static final Duration OWNERS_PAUSE = Duration.ofMillis(300);

  /**
   * Time that a call waits for a holder if it may not wait for something else; processes that start
   * join within it.
   */
  private static final Duration HOLDER_TIME = Duration.ofMillis(1_000);

  /** When to come back while no holder is known. */
  private static final Duration NO_HOLDER_RETRY = Duration.ofMillis(400);

  private final JobReplicas replicas;
  private final JobService service;
  private final JobFormat format;
  private final JobHolders holders = new JobHolders();
  private final ReplicaRule rule = new ReplicaRule();
  private final JobPeers peers;
  private final IntPredicate heldHere;
  private final OwnersQuestion owners;
  private final ScheduledExecutorService executor;
  private final InstantSource clock;
  private final EventLog log;
  private @Nullable CompletableFuture<Void> asking;
  private Instant askedOwners = Instant.MIN;

  /** Asks the store who holds the partitions. */
  interface OwnersQuestion {

    /** Returns the holders of all partitions. */
    CompletionStage<Map<Integer, String>> ask();
  }

  JobDesk(
      JobReplicas replicas,
      JobService service,
      JobFormat format,
      JobPeers peers,
      IntPredicate heldHere,
      OwnersQuestion owners,
      ScheduledExecutorService executor,
      InstantSource clock,
      EventLog log) {
    this.replicas = replicas;
    this.service = service;
    this.format = format;
    this.peers = peers;
    this.heldHere = heldHere;
    this.owners = owners;
    this.executor = executor;
    this.clock = clock;
    this.log = log;
  }

  /** Takes that a process holds a partition. */
  void held(String name, int partition, long epoch) {
    holders.held(partition, name, epoch);
  }

  @Override
  public boolean namesJob(FrontRequest request) {
    return format.namesJob(request);
  }

  @Override
  public Handling handle(FrontRequest request, Responder responder) {
    read(request, responder).ifPresent(call -> route(call, request, responder));
    return () -> {};
  }

  /**
   * Answers a request that a peer has passed on, from what this process reads itself.
   *
   * @return tells how many bytes of the partition this process has read
   */
  public LongSupplier answerHere(FrontRequest request, Responder responder) {
    Optional<JobCall> call = read(request, responder);
    call.ifPresent(known -> service.answer(known, request, responder));
    return () -> call.map(known -> replicas.bytes(replicas.partition(known.jobId()))).orElse(0L);
  }

  private Optional<JobCall> read(FrontRequest request, Responder responder) {
    Optional<JobCall> call;
    try {
      call = format.call(request);
    } catch (IllegalArgumentException e) {
      log.important("job", "call.unreadable").with("cause", e.getMessage()).write();
      responder.sendStatus(400, null);
      return Optional.empty();
    }
    if (call.isEmpty()) {
      responder.sendStatus(404, null);
    }
    return call;
  }

  private void route(JobCall call, FrontRequest request, Responder responder) {
    int partition = replicas.partition(call.jobId());
    if (call instanceof JobCall.Submit || heldHere.test(partition) || readsHere(partition)) {
      service.answer(call, request, responder);
    } else {
      new Question(call, partition, request, responder).start();
    }
  }

  /** Takes that this process holds a partition no longer. */
  void released(int partition) {
    keepIfSmall(partition);
  }

  /** Returns whether this process reads a partition itself, which it does not hold. */
  private boolean readsHere(int partition) {
    return rule.readsHere(partition, peers.instances()) && keepIfSmall(partition);
  }

  /** Forgets what was read of a partition that has grown too large; returns whether it is small. */
  private boolean keepIfSmall(int partition) {
    rule.told(partition, replicas.bytes(partition));
    boolean small = rule.readsHere(partition, peers.instances());
    if (!small) {
      replicas.forget(partition);
      log.important("job", "partition.grown").with("partition", partition).write();
    }
    return small;
  }

  /** Asks the store for the holders; calls that come meanwhile share one question. */
  private CompletableFuture<Void> learnHolders() {
    CompletableFuture<Void> running = asking;
    if (running != null) {
      return running;
    }
    Instant now = clock.instant();
    if (now.isBefore(askedOwners.plus(OWNERS_PAUSE))) {
      return CompletableFuture.completedFuture(null);
    }
    askedOwners = now;
    CompletableFuture<Void> learned = new CompletableFuture<>();
    asking = learned;
    owners
        .ask()
        .whenCompleteAsync(
            (told, failure) -> {
              asking = null;
              if (failure == null) {
                holders.told(told);
                log.routine("job", "holders.told").with("holders", told.toString()).write();
              } else {
                log.important("job", "holders.unknown").with("cause", failure.toString()).write();
              }
              learned.complete(null);
            },
            executor);
    return learned;
  }

  /** A call on its way: to the holder, then to the deputy, then to this process itself. */
  private final class Question {

    private final JobCall call;
    private final int partition;
    private final FrontRequest request;
    private final Deque<String> tried = new ArrayDeque<>();
    private Responder responder;

    private Question(JobCall call, int partition, FrontRequest request, Responder responder) {
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
        learnHolders().thenRunAsync(this::next, executor);
      }
    }

    private void next() {
      Optional<String> holder = holders.find(partition);
      if (holder.isEmpty() && tried.isEmpty()) {
        awaitHolder();
        return;
      }
      if (holder.filter(peers.self()::equals).isPresent()) {
        // It is about to read the partition, and this call with it.
        service.answer(call, request, responder);
        return;
      }
      if (holder.isPresent() && mayAsk(holder.get())) {
        ask(holder.get());
        return;
      }
      String missing = holder.orElseGet(tried::getFirst);
      Optional<String> deputy = peers.deputy(partition, missing);
      if (deputy.isPresent() && mayAsk(deputy.get())) {
        ask(deputy.get());
      } else {
        answerHere();
      }
    }

    /**
     * Waits until the partition has a holder. All processes were restarted: loading the partition
     * here would delay its next holder.
     */
    private void awaitHolder() {
      Duration wait = call instanceof JobCall.Read read ? read.waitTime() : Duration.ZERO;
      Duration longest = wait.compareTo(HOLDER_TIME) > 0 ? wait : HOLDER_TIME;
      if (clock.instant().isBefore(request.arrived().plus(longest))) {
        executor.schedule(this::start, OWNERS_PAUSE.toMillis(), TimeUnit.MILLISECONDS);
        return;
      }
      log.important("job", "job.unsure")
          .with("id", call.jobId())
          .with("status", 503)
          .with("cause", "no holder is known")
          .write();
      responder.sendStatus(503, NO_HOLDER_RETRY);
    }

    private boolean mayAsk(String name) {
      return !name.equals(peers.self()) && !tried.contains(name) && peers.reachable(name);
    }

    private void ask(String name) {
      tried.add(name);
      peers
          .ask(name, request, patience())
          .whenCompleteAsync(
              (reply, failure) -> {
                if (failure == null) {
                  send(name, reply);
                } else {
                  unanswered(failure);
                  holders.doubt(partition, name);
                  log.important("job", "holder.silent")
                      .with("id", call.jobId())
                      .with("instance", name)
                      .with("partition", partition)
                      .with("cause", failure.toString())
                      .write();
                  learnHolders().thenRunAsync(this::next, executor);
                }
              },
              executor);
    }

    /**
     * Takes that whoever was asked may have carried the call out.
     *
     * <p>Failure: a holder writes the end of a job and falls silent, and whoever is asked next is
     * refused by the store. It would show as a job that ended though its caller was told that it
     * did not. Guard: after such a call no answer promises anything.
     */
    private void unanswered(Throwable failure) {
      Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
      boolean unsent = cause instanceof HttpCallException made && made.unsent();
      if (call instanceof JobCall.End && !unsent) {
        responder = new UnknownOutcomeResponder(responder);
      }
    }

    private Duration patience() {
      if (call instanceof JobCall.Read read) {
        return read.waitTime().plus(ANSWER_TIME);
      }
      return call instanceof JobCall.End ? END_TIME : ANSWER_TIME;
    }

    private void send(String name, HttpReply reply) {
      HttpHeaders headers = new DefaultHttpHeaders();
      reply.headers().forEach(headers::set);
      String size = headers.get(PARTITION_BYTES);
      if (size != null) {
        headers.remove(PARTITION_BYTES);
        tellSize(name, size);
      }
      log.routine("job", "job.answered")
          .with("id", call.jobId())
          .with("instance", name)
          .with("status", reply.status())
          .write();
      responder.whole(reply.status(), headers, reply.body());
    }

    private void tellSize(String name, String size) {
      try {
        rule.told(partition, Long.parseLong(size));
      } catch (NumberFormatException e) {
        // The answer is the caller's; the size decides only who reads the partition next.
        log.important("job", "partition.size.unreadable").with("instance", name).write();
      }
    }

    private void answerHere() {
      log.important("job", "job.answered.here")
          .with("id", call.jobId())
          .with("partition", partition)
          .with("tried", tried.toString())
          .write();
      service.answer(call, request, responder);
    }
  }
}
