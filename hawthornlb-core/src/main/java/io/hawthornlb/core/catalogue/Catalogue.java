package io.hawthornlb.core.catalogue;

import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.util.Checks;
import java.util.Map;
import java.util.Optional;

/**
 * The complete catalogue at one revision.
 *
 * @param revision offset of the record that made this revision, or -1 for the empty catalogue
 * @param services services by name
 * @param workspaces workspaces by id
 */
public record Catalogue(
    long revision,
    Map<ServiceName, ServiceEntry> services,
    Map<WorkspaceId, WorkspaceEntry> workspaces) {

  /** The catalogue before the first edit. */
  public static final Catalogue EMPTY = new Catalogue(-1, Map.of(), Map.of());

  /** Checks the revision and copies the maps. */
  public Catalogue {
    Checks.isTrue(revision >= -1, "revision must be an offset or -1");
    services = Map.copyOf(services);
    workspaces = Map.copyOf(workspaces);
  }

  /** Returns the entry of a service. */
  public Optional<ServiceEntry> service(ServiceName name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns the entry of a workspace. */
  public Optional<WorkspaceEntry> workspace(WorkspaceId id) {
    return Optional.ofNullable(workspaces.get(id));
  }
}
