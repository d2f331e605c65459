package io.hawthornlb.standin.service.support;

import io.hawthornlb.standin.service.CallCounter;
import io.hawthornlb.standin.service.Echo;
import io.hawthornlb.standin.service.ServiceSettings;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts each call when it starts and echoes it after the service time. Thread-safe. */
public final class EchoService {

  private final ServiceSettings settings;
  private final CallCounter counter;
  private final AtomicInteger running = new AtomicInteger();

  /** Creates a service that counts its calls in {@code counter}. */
  public EchoService(ServiceSettings settings, CallCounter counter) {
    this.settings = settings;
    this.counter = counter;
  }

  /** Runs a call; the returned future completes after the service time. */
  public CompletableFuture<Echo> run(String method, String path, String key, byte[] body) {
    running.incrementAndGet();
    long call = counter.count(key);
    Echo echo =
        new Echo(
            settings.identity().service(),
            settings.identity().id(),
            method,
            path,
            new String(body, StandardCharsets.UTF_8),
            key,
            call,
            Echo.checksum(method, path, body));
    return CompletableFuture.supplyAsync(() -> echo, afterServiceTime())
        .whenComplete((answer, failure) -> running.decrementAndGet());
  }

  /** Returns the number of calls in progress. */
  public int running() {
    return running.get();
  }

  private Executor afterServiceTime() {
    long jitter = ThreadLocalRandom.current().nextLong(settings.jitterMillis() + 1);
    long millis = settings.serviceMillis() + jitter;
    return millis == 0
        ? Runnable::run
        : CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS);
  }
}
