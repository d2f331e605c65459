package io.hawthornlb.core.policy;

import io.hawthornlb.core.endpoint.LoadReport;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.ServiceName;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Simulated engine with continuous batching, which admits requests in order of arrival and has no
 * priorities.
 */
final class FakeEngine {

  private static final int PROGRESS_INTERVAL_TOKENS = 16;
  private static final long COLD_MICROS = 10_000_000;
  private static final long COLD_FACTOR = 3;

  final EndpointId id;
  final ServiceName service;
  final DataCentre dataCentre;
  final EngineModel model;
  boolean down;
  double onlineCostMicros;
  private final EventQueue events;
  private final RunResult result;
  private final Deque<FakeTask> waiting = new ArrayDeque<>();
  private final List<FakeTask> running = new ArrayList<>();
  private final Map<String, Integer> cache = new LinkedHashMap<>(16, 0.75f, true);
  private final Set<String> cancelledBeforeArrival = new HashSet<>();
  private long coldUntil;
  private int cached;
  private boolean stepping;

  FakeEngine(
      EndpointId id,
      ServiceName service,
      DataCentre dataCentre,
      EngineModel model,
      EventQueue events,
      RunResult result) {
    this.id = id;
    this.service = service;
    this.dataCentre = dataCentre;
    this.model = model;
    this.events = events;
    this.result = result;
  }

  void submit(FakeTask task) {
    if (down) {
      task.listener.crashed();
      return;
    }
    task.arrivedAt = events.micros();
    waiting.add(task);
    if (!stepping) {
      step();
    }
  }

  void cancel(String taskId) {
    for (FakeTask task : running) {
      if (task.id.equals(taskId)) {
        task.cancelled = true;
        return;
      }
    }
    for (FakeTask task : List.copyOf(waiting)) {
      if (task.id.equals(taskId)) {
        waiting.remove(task);
        task.listener.cancelled(task.generated);
        return;
      }
    }
    cancelledBeforeArrival.add(taskId);
  }

  /** Returns whether a task was cancelled before it arrived. */
  boolean cancelledEarly(String taskId) {
    return cancelledBeforeArrival.remove(taskId);
  }

  void crash() {
    down = true;
    List<FakeTask> aborted = new ArrayList<>(running);
    aborted.addAll(waiting);
    running.clear();
    waiting.clear();
    cache.clear();
    cached = 0;
    aborted.forEach(task -> task.listener.crashed());
  }

  /** Restarts the engine; as after any start, its first seconds are slow. */
  void recover() {
    down = false;
    coldUntil = events.micros() + COLD_MICROS;
  }

  void importCache(String key, int tokens) {
    putInCache(key, tokens);
  }

  LoadReport load() {
    return new LoadReport(events.now(), running.size(), waiting.size(), model.slots(), 0, 0, 0, 0);
  }

  private void step() {
    admit();
    stepping = !running.isEmpty();
    if (!stepping) {
      return;
    }
    int decoding = 0;
    int chunk = model.chunk();
    for (FakeTask task : running) {
      int processed = Math.min(chunk, task.prefillLeft);
      decoding += task.prefillLeft == 0 ? 1 : 0;
      task.prefillLeft -= processed;
      chunk -= processed;
    }
    double prefill = (model.chunk() - chunk) * model.prefillMicros();
    long micros = (long) (model.baseMicros() + decoding * model.slotMicros() + prefill);
    events.after(events.micros() < coldUntil ? COLD_FACTOR * micros : micros, this::stepped);
  }

  private void stepped() {
    List<FakeTask> finished = new ArrayList<>();
    for (FakeTask task : List.copyOf(running)) {
      if (task.prefillLeft == 0 && !task.cancelled) {
        task.generated++;
        onlineCostMicros += task.batch ? 0 : model.microsPerToken();
        if (task.generated == 1 || (task.batch && task.generated % PROGRESS_INTERVAL_TOKENS == 0)) {
          task.listener.first();
        }
      }
      if (task.finished()) {
        finished.add(task);
      }
    }
    running.removeAll(finished);
    finished.forEach(this::ended);
    step();
  }

  private void ended(FakeTask task) {
    putInCache(task.prefix, task.prefixTokens);
    if (task.cancelled) {
      putInCache(task.id, task.promptTokens + task.generated);
      task.listener.cancelled(task.generated);
    } else {
      task.listener.done();
    }
  }

  private void admit() {
    while (running.size() < model.slots() && !waiting.isEmpty()) {
      FakeTask task = waiting.poll();
      int cachedTokens =
          Math.max(cachedTokens(task.prefix, task.prefixTokens), cachedTokens(task.id, 1 << 20));
      task.prefillLeft = Math.max(1, task.promptTokens + task.generated - cachedTokens);
      onlineCostMicros += task.batch ? 0 : task.prefillLeft * model.prefillMicros();
      running.add(task);
      recordWait(task);
    }
  }

  private void recordWait(FakeTask task) {
    long waited = events.micros() - task.arrivedAt;
    if (!task.batch && model.slots() > 0) {
      boolean besideBatch = running.stream().anyMatch(other -> other.batch);
      result.recordWait(waited, besideBatch);
    }
  }

  private int cachedTokens(String key, int limit) {
    Integer tokens = cache.get(key);
    return tokens == null ? 0 : Math.min(tokens, limit);
  }

  private void putInCache(String key, int tokens) {
    Integer before = cache.put(key, tokens);
    cached += tokens - (before == null ? 0 : before);
    while (cached > model.cacheTokens() && !cache.isEmpty()) {
      cached -= cache.remove(cache.keySet().iterator().next());
    }
  }
}
