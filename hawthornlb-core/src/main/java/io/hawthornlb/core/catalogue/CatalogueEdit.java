package io.hawthornlb.core.catalogue;

import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.model.WorkspaceId;
import java.util.ArrayList;
import java.util.List;

/**
 * A change of the catalogue, accepted or void as a whole.
 *
 * @param rules the version of the checks that decide over it, the same on every instance
 * @param editId names the edit through resends, also by way of other instances
 * @param baseRevision the revision that the author saw
 * @param author who made it
 * @param putServices services that are added or replaced
 * @param putWorkspaces workspaces that are added or replaced
 * @param removedServices services that are removed
 * @param removedWorkspaces workspaces that are removed
 */
public record CatalogueEdit(
    int rules,
    String editId,
    long baseRevision,
    String author,
    List<ServiceEntry> putServices,
    List<WorkspaceEntry> putWorkspaces,
    List<ServiceName> removedServices,
    List<WorkspaceId> removedWorkspaces)
    implements RecordBody {

  /** Copies the lists. */
  public CatalogueEdit {
    putServices = List.copyOf(putServices);
    putWorkspaces = List.copyOf(putWorkspaces);
    removedServices = List.copyOf(removedServices);
    removedWorkspaces = List.copyOf(removedWorkspaces);
  }

  /** Starts an edit that rests on a revision. */
  public static Builder builder(String editId, long baseRevision, String author) {
    return new Builder(editId, baseRevision, author);
  }

  /** Collects the entries of a {@link CatalogueEdit}. */
  public static final class Builder {

    private final String editId;
    private final long baseRevision;
    private final String author;
    private final List<ServiceEntry> putServices = new ArrayList<>();
    private final List<WorkspaceEntry> putWorkspaces = new ArrayList<>();
    private final List<ServiceName> removedServices = new ArrayList<>();
    private final List<WorkspaceId> removedWorkspaces = new ArrayList<>();
    private int rules = CatalogueChecker.LATEST_RULES;

    private Builder(String editId, long baseRevision, String author) {
      this.editId = editId;
      this.baseRevision = baseRevision;
      this.author = author;
    }

    /** Sets the version of the checks; the latest by default. */
    public Builder rules(int value) {
      this.rules = value;
      return this;
    }

    /** Adds or replaces a service. */
    public Builder put(ServiceEntry entry) {
      putServices.add(entry);
      return this;
    }

    /** Adds or replaces a workspace. */
    public Builder put(WorkspaceEntry entry) {
      putWorkspaces.add(entry);
      return this;
    }

    /** Removes a service. */
    public Builder remove(ServiceName name) {
      removedServices.add(name);
      return this;
    }

    /** Removes a workspace. */
    public Builder remove(WorkspaceId id) {
      removedWorkspaces.add(id);
      return this;
    }

    /** Returns the edit. */
    public CatalogueEdit build() {
      return new CatalogueEdit(
          rules,
          editId,
          baseRevision,
          author,
          putServices,
          putWorkspaces,
          removedServices,
          removedWorkspaces);
    }
  }
}
