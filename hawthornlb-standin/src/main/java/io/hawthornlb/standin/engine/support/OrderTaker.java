package io.hawthornlb.standin.engine.support;

import io.hawthornlb.standin.engine.EngineOrder;
import io.hawthornlb.standin.engine.EngineOrders;
import io.hawthornlb.standin.engine.EngineRefusalException;
import io.hawthornlb.standin.engine.EngineState;
import io.micronaut.http.HttpStatus;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** Takes orders: checks their fencing numbers and carries them out over time. */
final class OrderTaker {

  private final EngineOrders settings;
  private final ModelShelf shelf;
  private final EngineLoop loop;
  private final WeightFetcher weights;
  private final Runnable afterModelLoad;

  OrderTaker(
      EngineOrders settings,
      ModelShelf shelf,
      EngineLoop loop,
      WeightFetcher weights,
      Runnable afterModelLoad) {
    this.settings = settings;
    this.shelf = shelf;
    this.loop = loop;
    this.weights = weights;
    this.afterModelLoad = afterModelLoad;
  }

  /**
   * Starts to carry an order out.
   *
   * @throws EngineRefusalException if the order is malformed or, where checked, old
   */
  void take(EngineOrder order) {
    Runnable effect = effect(order);
    boolean current = shelf.fence(order.fencing());
    if (!current && settings.checkFencing()) {
      throw new EngineRefusalException(
          HttpStatus.CONFLICT, "fencing number " + order.fencing() + " is old");
    }
    effect.run();
  }

  EngineState state() {
    return shelf.state();
  }

  private Runnable effect(EngineOrder order) {
    String version = order.version() == null ? "" : order.version();
    return switch (String.valueOf(order.action())) {
      case "load-model" -> {
        String model = required(order.model(), "model");
        yield () -> load(model, version, false);
      }
      case "load-adapter" -> {
        String adapter = required(order.model(), "model");
        yield () -> load(adapter, version, true);
      }
      case "unload-model" -> {
        String model = required(order.model(), "model");
        yield () -> shelf.unload(model);
      }
      case "set-role" -> {
        String role = required(order.role(), "role");
        yield () -> shelf.role(role);
      }
      default ->
          throw new EngineRefusalException(
              HttpStatus.BAD_REQUEST, "unknown action " + order.action());
    };
  }

  private void load(String name, String version, boolean adapter) {
    if (shelf.startLoading(name, version)) {
      weights.fetch(name, version).thenRun(() -> install(name, version, adapter));
    }
  }

  private void install(String name, String version, boolean adapter) {
    long millis = adapter ? settings.adapterMillis() : settings.loadMillis();
    if (!adapter && settings.loadPauses()) {
      loop.pause(TimeUnit.MILLISECONDS.toNanos(millis));
    }
    CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS)
        .execute(
            () -> {
              shelf.loaded(name, version, adapter);
              if (!adapter) {
                loop.execute(afterModelLoad);
              }
            });
  }

  private static String required(@Nullable String value, String key) {
    if (value == null || value.isBlank()) {
      throw new EngineRefusalException(HttpStatus.BAD_REQUEST, key + " must be given");
    }
    return value;
  }
}
