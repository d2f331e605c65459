package io.hawthornlb.standin.engine.support;

import io.hawthornlb.standin.engine.AnswerText;
import io.hawthornlb.standin.engine.BatchScheduler.BatchLoad;
import io.hawthornlb.standin.engine.ChatRequest;
import io.hawthornlb.standin.engine.EngineOrder;
import io.hawthornlb.standin.engine.EngineRefusalException;
import io.hawthornlb.standin.engine.EngineSettings;
import io.hawthornlb.standin.engine.EngineState;
import io.hawthornlb.standin.engine.KvExport;
import io.hawthornlb.standin.engine.LoadReport;
import io.hawthornlb.standin.engine.Prompt;
import io.hawthornlb.standin.fault.ActiveFaults;
import io.hawthornlb.standin.fault.Fault;
import io.hawthornlb.standin.fault.FaultKind;
import io.hawthornlb.standin.support.LaggingValue;
import io.micronaut.http.HttpStatus;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Base64;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/** An emulated engine: the operations behind the HTTP controllers. Thread-safe. */
public final class EngineEmulator implements AutoCloseable {

  private final EngineSettings settings;
  private final StreamStore streams;
  private final CacheEventFeed cacheEvents;
  private final LaggingValue<Load> load;
  private final EngineLoop loop;
  private final LoadedModels loadedModels;
  private final OrderHandler orders;
  private final WeightFetcher weights;
  private final AtomicInteger inProgress = new AtomicInteger();

  private record Load(BatchLoad batch, double tokensPerSecond) {}

  /**
   * Creates and starts an idle engine. The engine itself applies only {@link
   * FaultKind#LAG_REPORTS}; the server and the announcer apply the others.
   */
  public EngineEmulator(EngineSettings settings, ActiveFaults faults, InstantSource clock) {
    this.settings = settings;
    var memory = settings.memory();
    this.streams = new StreamStore(Duration.ofMillis(memory.keepMillis()), memory.maxKept(), clock);
    this.cacheEvents = new CacheEventFeed(settings.reports(), clock);
    this.load =
        new LaggingValue<>(new Load(new BatchLoad(0, 0, 0), 0), () -> loadLag(faults), clock);
    LruPrefixCache cache = new LruPrefixCache(memory.cacheTokens(), cacheEvents);
    this.loop =
        new EngineLoop(
            settings.identity().id(),
            new DefaultBatchScheduler(settings.timing(), memory, cache),
            TimeUnit.MILLISECONDS.toNanos(memory.detachedMillis()),
            this::publishLoad,
            this::ended);
    this.loadedModels = new LoadedModels(settings.models());
    this.weights = new WeightFetcher(settings.identity().platform());
    this.orders = new OrderHandler(settings.orders(), loadedModels, loop, weights, cache::clear);
    loop.start();
  }

  /**
   * Submits a request and returns the stream of its answer.
   *
   * @throws EngineRefusalException if the request is invalid, its model is not loaded, a stream
   *     with the same id is running, or too many requests wait
   */
  TokenStream submit(ChatRequest request, String requestId) {
    if (request.messages() == null || request.messages().isEmpty()) {
      throw new EngineRefusalException(HttpStatus.BAD_REQUEST, "messages must hold a message");
    }
    checkModel(request.model());
    Prompt prompt = Prompt.of(request.messages());
    int total =
        request.maxTokens() == null ? AnswerText.defaultLength(prompt.hash()) : request.maxTokens();
    checkSize(prompt, total);
    TokenStream stream =
        new TokenStream(
            requestId,
            String.valueOf(request.model()),
            request.messages(),
            prompt,
            AnswerText.hash(prompt.hash(), settings.version()),
            total);
    if (!streams.add(stream)) {
      throw new EngineRefusalException(
          HttpStatus.CONFLICT, "request " + requestId + " runs already");
    }
    inProgress.incrementAndGet();
    loop.submit(stream, false);
    return stream;
  }

  /** Returns a stream, and resumes the stream if it was cancelled. */
  Optional<TokenStream> resume(String requestId) {
    Optional<TokenStream> found = streams.find(requestId);
    found.ifPresent(
        stream -> {
          if (stream.resume()) {
            inProgress.incrementAndGet();
            loop.submit(stream, stream.generated() > 0);
          }
        });
    return found;
  }

  /**
   * Cancels a stream and returns the number of tokens generated so far, or empty if no stream has
   * this id.
   */
  Optional<Integer> cancel(String requestId) {
    Optional<TokenStream> found = streams.find(requestId);
    return found.map(
        stream -> {
          boolean running = stream.ending().isEmpty();
          int run = stream.run();
          int generated = stream.cancel();
          if (running) {
            loop.remove(stream);
          }
          if (running && stream.endRun(run)) {
            ended(stream);
          }
          return generated;
        });
  }

  /** Returns the state with which another engine can resume a stream. */
  Optional<KvExport> export(String requestId) {
    return streams
        .find(requestId)
        .map(
            stream -> {
              int generated = stream.generated();
              return new KvExport(
                  requestId,
                  stream.model(),
                  stream.messages(),
                  stream.total(),
                  generated,
                  Base64.getEncoder().encodeToString(new byte[kvBytes(stream, generated)]));
            });
  }

  /**
   * Imports a stream that was exported by another engine, so that a caller can resume it here.
   *
   * @throws EngineRefusalException if the export is inconsistent, its model is not loaded, a stream
   *     with the same id is running, or too many requests wait
   */
  void importStream(String requestId, KvExport export) {
    checkModel(export.model());
    TokenStream stream =
        TokenStream.imported(
            requestId,
            export.model(),
            export.messages(),
            settings.version(),
            export.maxTokens(),
            export.generated());
    checkSize(stream.prompt(), stream.total());
    boolean consistent =
        export.generated() >= 0
            && export.generated() <= export.maxTokens()
            && Base64.getDecoder().decode(export.kv()).length
                == kvBytes(stream, export.generated());
    if (!consistent) {
      throw new EngineRefusalException(HttpStatus.BAD_REQUEST, "the cache is not whole");
    }
    if (!streams.add(stream)) {
      throw new EngineRefusalException(
          HttpStatus.CONFLICT, "request " + requestId + " runs already");
    }
    streams.ended(stream);
  }

  /** Returns the load report, which is as old as the configured lag. */
  LoadReport load() {
    var visible = load.visible();
    BatchLoad batch = visible.value().batch();
    return new LoadReport(
        visible.asOf().toString(),
        batch.running(),
        batch.waiting(),
        settings.memory().slots(),
        batch.kvUsedTokens(),
        settings.memory().kvTokens(),
        visible.value().tokensPerSecond());
  }

  CacheEventFeed.Page cacheEvents(long from) {
    return cacheEvents.from(from);
  }

  void order(EngineOrder order) {
    orders.handle(order);
  }

  EngineState state() {
    return orders.state();
  }

  /** Returns the number of streams that run or wait for a slot. */
  public int inProgress() {
    return inProgress.get();
  }

  @Override
  public void close() {
    weights.close();
    loop.close();
  }

  private Duration loadLag(ActiveFaults faults) {
    long millis =
        faults
            .findMatching(FaultKind.LAG_REPORTS, "")
            .map(Fault::value)
            .orElse(settings.reports().loadLagMillis());
    return Duration.ofMillis(millis);
  }

  private void ended(TokenStream stream) {
    inProgress.decrementAndGet();
    streams.ended(stream);
  }

  private void publishLoad(EngineLoop running) {
    load.publish(new Load(running.load(), running.tokensPerSecond()));
  }

  private void checkModel(@Nullable String model) {
    boolean known =
        model != null && (model.equals(settings.identity().service()) || loadedModels.has(model));
    if (!known) {
      throw new EngineRefusalException(HttpStatus.NOT_FOUND, "no model " + model);
    }
  }

  private void checkSize(Prompt prompt, int total) {
    if (total < 1) {
      throw new EngineRefusalException(HttpStatus.BAD_REQUEST, "max_tokens must be above 0");
    }
    if (prompt.tokens() + total > settings.memory().kvTokens()) {
      throw new EngineRefusalException(
          HttpStatus.BAD_REQUEST, "the context exceeds " + settings.memory().kvTokens());
    }
    if (inProgress.get() >= settings.memory().slots() + settings.memory().maxWaiting()) {
      throw new EngineRefusalException(HttpStatus.SERVICE_UNAVAILABLE, "too many wait");
    }
  }

  private int kvBytes(TokenStream stream, int generated) {
    return (stream.prompt().tokens() + generated) * settings.memory().kvBytesPerToken();
  }
}
