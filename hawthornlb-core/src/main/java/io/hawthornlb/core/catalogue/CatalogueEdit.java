package io.hawthornlb.core.catalogue;

import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.model.WorkspaceId;
import java.util.ArrayList;
import java.util.List;

/**
 * A change of the catalogue, which is accepted or rejected as a whole.
 *
 * @param rules version of the rules by which every instance checks the edit
 * @param editId id of the edit, which stays the same when the edit is resent, also through another
 *     instance
 * @param baseRevision revision that the author saw when making the edit
 * @param author author of the edit
 * @param putServices services to add or replace
 * @param putWorkspaces workspaces to add or replace
 * @param removedServices services to remove
 * @param removedWorkspaces workspaces to remove
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

  /** Returns a builder of an edit that is based on a revision. */
  public static Builder builder(String editId, long baseRevision, String author) {
    return new Builder(editId, baseRevision, author);
  }

  /** Builder of a {@link CatalogueEdit}. */
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

    /** Sets the version of the rules; the latest by default. */
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
