package io.hawthornlb.core.routing;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;

/** Measures the time of one routing decision; run the main method. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 4, time = 1)
@Fork(1)
public class RouterBenchmark {

  private static final int REQUESTS = 1_024;

  @Param({"10", "100", "600"})
  public int engines;

  private RouterFixture fixture;
  private final List<RouteRequest> requests = new ArrayList<>();
  private int next;

  public static void main(String[] arguments) throws RunnerException {
    new Runner(new OptionsBuilder().include(RouterBenchmark.class.getSimpleName()).build()).run();
  }

  @Setup
  public void prepare() {
    fixture = new RouterFixture(engines, RouterSettings.builder().build());
    for (int i = 0; i < REQUESTS; i++) {
      List<String> prefix = List.of("a-" + i % 30, "b-" + i % 300);
      fixture.prefixes.onRouted(RouterFixture.id(i % engines), prefix, RouterFixture.NOW);
      requests.add(fixture.request(i, prefix, Set.of()));
    }
  }

  @Benchmark
  public Either<?, Route> choose() {
    RouteRequest request = requests.get(next++ % REQUESTS);
    Either<?, Route> route = fixture.router.choose(request, RouterFixture.NOW);
    fixture.inFlight.onStarted(route.get().endpoint(), RouterFixture.NOW);
    fixture.inFlight.onFinished(route.get().endpoint(), RouterFixture.NOW);
    return route;
  }
}
