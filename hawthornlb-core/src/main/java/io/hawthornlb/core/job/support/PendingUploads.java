package io.hawthornlb.core.job.support;

import io.hawthornlb.core.job.ChunkLocation;
import io.hawthornlb.core.job.JobChunk;
import io.hawthornlb.core.job.JobHeader;
import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.model.ServiceName;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Chunks in the stream whose jobs have not been accepted; bounded by the number and age of the
 * uploads.
 */
final class PendingUploads {

  private static final int MAX_UPLOADS = 4_096;
  private static final Duration MAX_AGE = Duration.ofHours(1);

  private final Map<UploadId, Upload> uploads = new LinkedHashMap<>();

  void add(JobChunk chunk, long offset, Instant appendedAt) {
    expire(appendedAt);
    UploadId id = new UploadId(chunk.job(), chunk.submission());
    Upload upload = uploads.computeIfAbsent(id, key -> new Upload(appendedAt, new TreeMap<>()));
    StoredChunk stored = new StoredChunk(offset, chunk.items().size(), chunk.service());
    upload.chunks().putIfAbsent(chunk.index(), stored);
  }

  /**
   * Returns the chunks of a job, or an empty list if the upload does not match the counts in the
   * header.
   */
  List<ChunkLocation> chunks(JobHeader header) {
    Upload upload = uploads.get(new UploadId(header.id(), header.submission()));
    if (upload == null || !upload.whole(header)) {
      return List.of();
    }
    List<ChunkLocation> chunks = new ArrayList<>();
    int firstItem = 0;
    for (StoredChunk stored : upload.chunks().values()) {
      chunks.add(new ChunkLocation(stored.offset(), firstItem, stored.items(), stored.service()));
      firstItem += stored.items();
    }
    return chunks;
  }

  void remove(JobHeader header) {
    uploads.remove(new UploadId(header.id(), header.submission()));
  }

  private void expire(Instant now) {
    Iterator<Upload> oldest = uploads.values().iterator();
    while (oldest.hasNext()) {
      boolean old = oldest.next().firstAppendedAt().plus(MAX_AGE).isBefore(now);
      if (!old && uploads.size() <= MAX_UPLOADS) {
        return;
      }
      oldest.remove();
    }
  }

  private record UploadId(JobId job, String submission) {}

  private record StoredChunk(long offset, int items, ServiceName service) {}

  private record Upload(Instant firstAppendedAt, TreeMap<Integer, StoredChunk> chunks) {

    boolean whole(JobHeader header) {
      if (chunks.size() != header.chunks() || chunks.lastKey() != header.chunks() - 1) {
        return false;
      }
      long items = chunks.values().stream().mapToLong(StoredChunk::items).sum();
      return items == header.items();
    }
  }
}
