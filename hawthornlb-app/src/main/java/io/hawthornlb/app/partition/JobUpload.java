package io.hawthornlb.app.partition;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.hawthornlb.core.catalogue.Catalogue;
import io.hawthornlb.core.catalogue.ServiceKind;
import io.hawthornlb.core.job.JobChunk;
import io.hawthornlb.core.job.JobItem;
import io.hawthornlb.core.model.Finding;
import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.suspect.Fingerprint;
import io.hawthornlb.core.util.ContentDigest;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Reads the lines of one submission and cuts them into chunks.
 *
 * <p>Memory is bounded by one chunk and eight bytes an item, whatever the size of the job.
 */
public final class JobUpload {

  private static final String SOURCE = "body";
  private static final String CHAT_URL = "/v1/chat/completions";
  private static final int CHUNK_ITEMS = 500;
  private static final int CHUNK_CHARACTERS = 48 << 10;
  private static final int MOST_ITEMS = 200_000;
  private static final int MOST_FINDINGS = 100;

  private final JobId job;
  private final String submission;
  private final Catalogue catalogue;
  private final ObjectMapper mapper;
  private final ContentDigest digest = new ContentDigest();
  private final Set<Long> customIds = new HashSet<>();
  private final List<Finding> findings = new ArrayList<>();
  private final List<JobItem> pending = new ArrayList<>();
  private @Nullable ServiceName service;
  private int pendingCharacters;
  private int line;
  private int items;
  private int chunks;

  /** Creates the upload of a job. */
  public JobUpload(JobId job, String submission, Catalogue catalogue, ObjectMapper mapper) {
    this.job = job;
    this.submission = submission;
    this.catalogue = catalogue;
    this.mapper = mapper;
  }

  /** Takes a line and returns a chunk that it completed. */
  public Optional<JobChunk> line(String text) {
    line++;
    if (text.isBlank()) {
      return Optional.empty();
    }
    Optional<JobChunk> full = Optional.empty();
    JsonNode root = parse(text);
    if (root != null && check(root)) {
      full = add(root, new ServiceName(root.path("body").path("model").asText()));
    }
    return full;
  }

  /** Returns the last chunk, if items are left. */
  public Optional<JobChunk> end() {
    if (line == 0 || (items == 0 && findings.isEmpty())) {
      find("", "the job has no item");
    }
    return flush();
  }

  /** Returns everything that is wrong; nothing may be submitted unless it is empty. */
  public List<Finding> findings() {
    return List.copyOf(findings);
  }

  /** Returns the number of items so far. */
  public int items() {
    return items;
  }

  /** Returns the number of chunks so far. */
  public int chunks() {
    return chunks;
  }

  /** Returns the hash of all items; to be called once, at the end. */
  public String contentHash() {
    return digest.hex();
  }

  private @Nullable JsonNode parse(String text) {
    try {
      return mapper.readTree(text);
    } catch (JsonProcessingException e) {
      find("", "broken JSON: " + e.getOriginalMessage());
      return null;
    }
  }

  private boolean check(JsonNode root) {
    int before = findings.size();
    String customId = root.path("custom_id").asText("");
    if (customId.isBlank()) {
      find("custom_id", "missing");
    } else if (!customIds.add(Fingerprint.of("custom_id", bytes(customId)).value())) {
      find("custom_id", "stands twice: " + customId);
    }
    if (!"POST".equals(root.path("method").asText())) {
      find("method", "expected POST");
    }
    if (!CHAT_URL.equals(root.path("url").asText())) {
      find("url", "expected " + CHAT_URL);
    }
    checkBody(root.path("body"));
    if (items >= MOST_ITEMS) {
      find("", "a job has " + MOST_ITEMS + " items at most");
    }
    return findings.size() == before && findings.size() < MOST_FINDINGS;
  }

  private void checkBody(JsonNode body) {
    String model = body.path("model").asText("");
    boolean known =
        !model.isBlank()
            && catalogue
                .service(new ServiceName(model))
                .filter(entry -> entry.kind() == ServiceKind.ENGINE)
                .isPresent();
    if (!known) {
      find("body.model", "no service named " + model);
    }
    if (!body.path("messages").isArray() || body.path("messages").isEmpty()) {
      find("body.messages", "expected an array of at least one message");
    }
    if (body.path("stream").asBoolean(false)) {
      find("body.stream", "items of a job are not streamed");
    }
  }

  private Optional<JobChunk> add(JsonNode root, ServiceName itemService) {
    String body = root.path("body").toString();
    Optional<JobChunk> full = Optional.empty();
    boolean full500 = pending.size() >= CHUNK_ITEMS;
    boolean fullBytes = !pending.isEmpty() && pendingCharacters + body.length() > CHUNK_CHARACTERS;
    if (full500 || fullBytes || !itemService.equals(service)) {
      full = flush();
    }
    service = itemService;
    JobItem item = new JobItem(root.path("custom_id").asText(), "POST", CHAT_URL, body);
    pending.add(item);
    pendingCharacters += body.length();
    digest.add(item.customId()).add(body);
    items++;
    return full;
  }

  private Optional<JobChunk> flush() {
    ServiceName chunkService = service;
    if (pending.isEmpty() || chunkService == null) {
      return Optional.empty();
    }
    JobChunk chunk =
        new JobChunk(job, submission, chunks++, chunkService, pending, Optional.empty());
    pending.clear();
    pendingCharacters = 0;
    return Optional.of(chunk);
  }

  private void find(String path, String message) {
    if (findings.size() < MOST_FINDINGS) {
      findings.add(new Finding(SOURCE, line, path, message));
    }
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
