package io.hawthornlb.core.workspace.support;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.workspace.DuplicateWorkspaceException;
import io.hawthornlb.core.workspace.SharedKeyException;
import io.hawthornlb.core.workspace.Workspace;
import io.hawthornlb.core.workspace.WorkspaceRegistry;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Registry that finds the holder of a key through a hash of the key.
 *
 * <p>The hash has a random seed, so that a caller cannot choose keys that collide. Keys with equal
 * hashes are compared in a time that does not depend on their content.
 */
public final class DefaultWorkspaceRegistry implements WorkspaceRegistry {

  private final Hasher64 hasher;
  private final Map<WorkspaceId, Workspace> workspaces;
  private final Map<Long, List<KeyEntry>> entries;

  private DefaultWorkspaceRegistry(Builder builder) {
    this.hasher = builder.hasher;
    this.workspaces = Map.copyOf(builder.workspaces);
    this.entries = builder.entries;
  }

  /** Returns a builder of an empty registry. */
  public static Builder builder() {
    return new Builder();
  }

  @Override
  public Optional<Workspace> findByKey(String apiKey) {
    byte[] bytes = bytes(apiKey);
    List<KeyEntry> candidates = entries.get(hasher.hashBytesToLong(bytes));
    if (candidates == null) {
      return Optional.empty();
    }
    for (KeyEntry candidate : candidates) {
      if (candidate.matches(bytes)) {
        return Optional.of(candidate.holder);
      }
    }
    return Optional.empty();
  }

  @Override
  public Optional<Workspace> find(WorkspaceId id) {
    return Optional.ofNullable(workspaces.get(id));
  }

  @Override
  public int size() {
    return workspaces.size();
  }

  private static byte[] bytes(String apiKey) {
    return apiKey.getBytes(StandardCharsets.UTF_8);
  }

  /** A key and its holder. Has no textual form, so that a log cannot contain the key. */
  private static final class KeyEntry {

    private final byte[] key;
    private final Workspace holder;

    private KeyEntry(byte[] key, Workspace holder) {
      this.key = key;
      this.holder = holder;
    }

    private boolean matches(byte[] other) {
      return MessageDigest.isEqual(key, other);
    }
  }

  /** Builds a registry. */
  public static final class Builder {

    private final Hasher64 hasher = Hashing.wyhashFinal4(ThreadLocalRandom.current().nextLong());
    private final Map<WorkspaceId, Workspace> workspaces = new HashMap<>();
    private final Map<Long, List<KeyEntry>> entries = new HashMap<>();

    private Builder() {}

    /**
     * Adds a workspace with its keys. A key that is given twice counts once.
     *
     * @throws DuplicateWorkspaceException if the registry has the workspace already
     * @throws SharedKeyException if another workspace holds one of the keys
     */
    public Builder add(Workspace workspace, Collection<String> apiKeys) {
      if (workspaces.putIfAbsent(workspace.id(), workspace) != null) {
        throw new DuplicateWorkspaceException(workspace.id());
      }
      apiKeys.forEach(key -> addKey(bytes(key), workspace));
      return this;
    }

    private void addKey(byte[] key, Workspace holder) {
      List<KeyEntry> sameHash =
          entries.computeIfAbsent(hasher.hashBytesToLong(key), any -> new ArrayList<>(1));
      for (KeyEntry entry : sameHash) {
        if (entry.matches(key)) {
          if (!entry.holder.equals(holder)) {
            throw new SharedKeyException(entry.holder.id(), holder.id());
          }
          return;
        }
      }
      sameHash.add(new KeyEntry(key, holder));
    }

    /** Returns the registry. The builder must not be used any more. */
    public WorkspaceRegistry build() {
      return new DefaultWorkspaceRegistry(this);
    }
  }
}
