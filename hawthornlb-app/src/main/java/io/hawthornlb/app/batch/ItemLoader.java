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

/** Reads the content of dispatched items from the log, a few chunks kept at hand. */
final class ItemLoader {

  private static final int KEPT_CHUNKS = 8;
  private static final int DEFAULT_MAX_TOKENS = 256;
  private static final int CHARACTERS_A_TOKEN = 4;

  private record ChunkKey(StreamName stream, long offset) {}

  private final LogAccess log;
  private final ObjectMapper mapper;
  private final Map<ChunkKey, JobChunk> kept =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<ChunkKey, JobChunk> eldest) {
          return size() > KEPT_CHUNKS;
        }
      };

  ItemLoader(LogAccess log, ObjectMapper mapper) {
    this.log = log;
    this.mapper = mapper;
  }

  /** Returns the items with their content; fails if a chunk can't be read. */
  Mono<List<ItemWork>> load(ItemsDispatched message) {
    StreamName stream = StreamName.ofPartition(message.partition());
    return Flux.fromIterable(message.items())
        .concatMap(
            item -> chunk(stream, item.location().chunkOffset()).map(chunk -> work(item, chunk)))
        .collectList();
  }

  private Mono<JobChunk> chunk(StreamName stream, long offset) {
    ChunkKey key = new ChunkKey(stream, offset);
    JobChunk known = find(key);
    if (known != null) {
      return Mono.just(known);
    }
    return Mono.fromCompletionStage(() -> log.client().read(stream, offset, 1, Duration.ZERO))
        .map(page -> log.codec().decode(page.records().get(0)))
        .map(LogRecord::body)
        .cast(JobChunk.class)
        .doOnNext(chunk -> keep(key, chunk));
  }

  private synchronized JobChunk find(ChunkKey key) {
    return kept.get(key);
  }

  private synchronized void keep(ChunkKey key, JobChunk chunk) {
    kept.put(key, chunk);
  }

  private ItemWork work(ItemDispatch dispatch, JobChunk chunk) {
    JobItem content = chunk.items().get(dispatch.location().position());
    BatchItem batch =
        new BatchItem(
            new ItemRef(dispatch.job(), dispatch.location().index()),
            dispatch.submittedAt(),
            dispatch.due(),
            content.body().length() / CHARACTERS_A_TOKEN,
            maxTokens(content),
            0,
            Optional.empty(),
            dispatch.remaining());
    return new ItemWork(
        dispatch, content, batch, ItemWork.fingerprint(chunk.service().value(), content));
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
