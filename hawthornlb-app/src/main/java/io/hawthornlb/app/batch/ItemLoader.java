package io.hawthornlb.app.batch;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.hawthornlb.app.entry.LogAccess;
import io.hawthornlb.core.batch.BatchItem;
import io.hawthornlb.core.batch.ItemRef;
import io.hawthornlb.core.job.ItemDispatch;
import io.hawthornlb.core.job.ItemsDispatched;
import io.hawthornlb.core.job.JobChunk;
import io.hawthornlb.core.job.JobItem;
import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.StreamName;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Reads the content of dispatched items from the log, and caches the last eight chunks read. */
final class ItemLoader {

  private static final int CACHED_CHUNKS = 8;
  private static final int DEFAULT_MAX_TOKENS = 256;
  private static final int CHARACTERS_PER_TOKEN = 4;

  private record ChunkKey(StreamName stream, long offset) {}

  private final LogAccess log;
  private final ObjectMapper mapper;
  private final Map<ChunkKey, JobChunk> cache =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<ChunkKey, JobChunk> eldest) {
          return size() > CACHED_CHUNKS;
        }
      };

  ItemLoader(LogAccess log, ObjectMapper mapper) {
    this.log = log;
    this.mapper = mapper;
  }

  /** Returns the items with their content. Fails if a chunk cannot be read. */
  Mono<List<LoadedItem>> load(ItemsDispatched message) {
    StreamName stream = StreamName.ofPartition(message.partition());
    return Flux.fromIterable(message.items())
        .concatMap(
            item ->
                chunk(stream, item.location().chunkOffset())
                    .map(chunk -> toLoadedItem(item, chunk)))
        .collectList();
  }

  private Mono<JobChunk> chunk(StreamName stream, long offset) {
    ChunkKey key = new ChunkKey(stream, offset);
    JobChunk cached = findCached(key);
    if (cached != null) {
      return Mono.just(cached);
    }
    return Mono.fromCompletionStage(() -> log.client().read(stream, offset, 1, Duration.ZERO))
        .map(page -> log.codec().decode(page.records().get(0)))
        .map(LogRecord::body)
        .cast(JobChunk.class)
        .doOnNext(chunk -> addToCache(key, chunk));
  }

  private synchronized JobChunk findCached(ChunkKey key) {
    return cache.get(key);
  }

  private synchronized void addToCache(ChunkKey key, JobChunk chunk) {
    cache.put(key, chunk);
  }

  private LoadedItem toLoadedItem(ItemDispatch dispatch, JobChunk chunk) {
    JobItem content = chunk.items().get(dispatch.location().position());
    BatchItem batch =
        new BatchItem(
            new ItemRef(dispatch.job(), dispatch.location().index()),
            dispatch.submittedAt(),
            dispatch.due(),
            content.body().length() / CHARACTERS_PER_TOKEN,
            maxTokens(content),
            0,
            Optional.empty(),
            dispatch.remaining());
    return new LoadedItem(
        dispatch, content, batch, LoadedItem.fingerprint(chunk.service().value(), content));
  }

  private int maxTokens(JobItem content) {
    try {
      JsonNode body = mapper.readTree(content.body());
      return Math.max(1, body.path("max_tokens").asInt(DEFAULT_MAX_TOKENS));
    } catch (JsonProcessingException e) {
      return DEFAULT_MAX_TOKENS;
    }
  }
}
