package io.hawthornlb.standin.engine.support;

import io.hawthornlb.standin.engine.EngineOrder;
import io.hawthornlb.standin.engine.EngineOrders;
import io.hawthornlb.standin.engine.EngineRefusalException;
import io.hawthornlb.standin.engine.EngineState;
import io.micronaut.http.HttpStatus;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** Checks the fencing numbers of orders and executes the orders asynchronously. */
final class OrderHandler {

  private final EngineOrders settings;
  private final LoadedModels loadedModels;
  private final EngineLoop loop;
  private final WeightFetcher weights;
  private final Runnable afterModelLoad;

  OrderHandler(
      EngineOrders settings,
      LoadedModels loadedModels,
      EngineLoop loop,
      WeightFetcher weights,
      Runnable afterModelLoad) {
    this.settings = settings;
    this.loadedModels = loadedModels;
    this.loop = loop;
    this.weights = weights;
    this.afterModelLoad = afterModelLoad;
  }

  /**
   * Starts to execute an order.
   *
   * @throws EngineRefusalException if the order is malformed, or if its fencing number is outdated
   *     and the settings demand the check
   */
  void handle(EngineOrder order) {
    Runnable effect = effect(order);
    boolean current = loadedModels.recordFencing(order.fencing());
    if (!current && settings.checkFencing()) {
      throw new EngineRefusalException(
          HttpStatus.CONFLICT, "fencing number " + order.fencing() + " is old");
    }
    effect.run();
  }

  EngineState state() {
    return loadedModels.state();
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
        yield () -> loadedModels.unload(model);
      }
      case "set-role" -> {
        String role = required(order.role(), "role");
        yield () -> loadedModels.role(role);
      }
      default ->
          throw new EngineRefusalException(
              HttpStatus.BAD_REQUEST, "unknown action " + order.action());
    };
  }

  private void load(String name, String version, boolean adapter) {
    if (loadedModels.startLoading(name, version)) {
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
              loadedModels.loaded(name, version, adapter);
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
