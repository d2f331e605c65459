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
 * Parses the lines of one submission and groups the items into chunks.
 *
 * <p>Memory use is bounded by one chunk plus eight bytes for each item, since an upload keeps a
 * 64-bit hash of each custom id to detect duplicates.
 */
public final class JobUpload {

  private static final String SOURCE = "body";
  private static final String CHAT_URL = "/v1/chat/completions";
  private static final int MAX_CHUNK_ITEMS = 500;
  private static final int MAX_CHUNK_CHARACTERS = 48 << 10;
  private static final int MAX_ITEMS = 200_000;
  private static final int MAX_FINDINGS = 100;

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
  private boolean broken;

  /** Creates the upload of a job. */
  public JobUpload(JobId job, String submission, Catalogue catalogue, ObjectMapper mapper) {
    this.job = job;
    this.submission = submission;
    this.catalogue = catalogue;
    this.mapper = mapper;
  }

  /** Adds a line and returns the chunk that the line completed, if any. */
  public Optional<JobChunk> line(String text) {
    line++;
    if (text.isBlank()) {
      return Optional.empty();
    }
    Optional<JobChunk> completed = Optional.empty();
    JsonNode root = parse(text);
    if (root != null && check(root)) {
      completed = add(root, new ServiceName(root.path("body").path("model").asText()));
    }
    return completed;
  }

  /** Ends the upload and returns the last chunk, if items are left. */
  public Optional<JobChunk> end() {
    if (line == 0 || (items == 0 && findings.isEmpty())) {
      addFault("", "the job has no item");
    }
    return flush();
  }

  /** Returns all faults found so far. The job may be submitted only if this list is empty. */
  public List<Finding> findings() {
    return List.copyOf(findings);
  }

  /**
   * Returns whether the catalogue lacks a service of the items and the upload has no other fault.
   * Its content hash then is the one of the same job with the service.
   */
  public boolean lacksOnlyServices() {
    return !findings.isEmpty() && !broken;
  }

  /** Returns the number of items so far. */
  public int items() {
    return items;
  }

  /** Returns the number of chunks so far. */
  public int chunks() {
    return chunks;
  }

  /** Returns the hash of all items. Call this method only once, after the last item. */
  public String contentHash() {
    return digest.hex();
  }

  private @Nullable JsonNode parse(String text) {
    try {
      return mapper.readTree(text);
    } catch (JsonProcessingException e) {
      addFault("", "broken JSON: " + e.getOriginalMessage());
      return null;
    }
  }

  private boolean check(JsonNode root) {
    boolean brokenBefore = broken;
    broken = false;
    String customId = root.path("custom_id").asText("");
    if (customId.isBlank()) {
      addFault("custom_id", "missing");
    } else if (!customIds.add(Fingerprint.of("custom_id", bytes(customId)).value())) {
      addFault("custom_id", "stands twice: " + customId);
    }
    if (!"POST".equals(root.path("method").asText())) {
      addFault("method", "expected POST");
    }
    if (!CHAT_URL.equals(root.path("url").asText())) {
      addFault("url", "expected " + CHAT_URL);
    }
    checkBody(root.path("body"));
    if (items >= MAX_ITEMS) {
      addFault("", "a job has " + MAX_ITEMS + " items at most");
    }
    boolean wellFormed = !broken;
    broken |= brokenBefore;
    return wellFormed;
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
      addFinding("body.model", "no service named " + model);
    }
    if (!body.path("messages").isArray() || body.path("messages").isEmpty()) {
      addFault("body.messages", "expected an array of at least one message");
    }
    if (body.path("stream").asBoolean(false)) {
      addFault("body.stream", "items of a job are not streamed");
    }
  }

  private Optional<JobChunk> add(JsonNode root, ServiceName itemService) {
    String body = root.path("body").toString();
    Optional<JobChunk> completed = Optional.empty();
    boolean enoughItems = pending.size() >= MAX_CHUNK_ITEMS;
    boolean tooManyCharacters =
        !pending.isEmpty() && pendingCharacters + body.length() > MAX_CHUNK_CHARACTERS;
    if (enoughItems || tooManyCharacters || !itemService.equals(service)) {
      completed = flush();
    }
    service = itemService;
    JobItem item = new JobItem(root.path("custom_id").asText(), "POST", CHAT_URL, body);
    pending.add(item);
    pendingCharacters += body.length();
    digest.add(item.customId()).add(body);
    items++;
    return completed;
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

  private void addFault(String path, String message) {
    broken = true;
    addFinding(path, message);
  }

  private void addFinding(String path, String message) {
    if (findings.size() < MAX_FINDINGS) {
      findings.add(new Finding(SOURCE, line, path, message));
    }
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
