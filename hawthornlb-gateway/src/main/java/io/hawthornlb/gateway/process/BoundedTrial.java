package io.hawthornlb.gateway.process;

import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

/**
 * Runs trial calls for a limited time and returns an exit code.
 *
 * <p>If a port of a trial gateway is taken by another process, the trial fails while the event
 * loops of its gateways still run. The build that started the trial would then wait for ever.
 */
public final class BoundedTrial {

  private static final int FAILED_EXIT_CODE = 1;

  private final Duration limit;
  private final PrintStream out;

  /** Creates a runner that prints the result or the cause of a failure. */
  public BoundedTrial(Duration limit, PrintStream out) {
    this.limit = limit;
    this.out = out;
  }

  /** Runs the calls, which return the statuses of their responses. */
  public int run(Supplier<List<Integer>> calls) {
    CompletableFuture<List<Integer>> statuses = new CompletableFuture<>();
    Thread thread = new Thread(() -> complete(statuses, calls), "trial");
    thread.setDaemon(true);
    thread.start();
    try {
      List<Integer> received = statuses.get(limit.toMillis(), TimeUnit.MILLISECONDS);
      out.println("platform: The trial calls returned the statuses " + received);
      return 0;
    } catch (ExecutionException e) {
      out.println("platform: The trial calls failed: " + e.getCause());
    } catch (TimeoutException e) {
      out.println("platform: The trial calls did not end within " + limit);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return FAILED_EXIT_CODE;
  }

  private static void complete(
      CompletableFuture<List<Integer>> statuses, Supplier<List<Integer>> calls) {
    try {
      statuses.complete(calls.get());
    } catch (RuntimeException e) {
      statuses.completeExceptionally(e);
    }
  }
}
