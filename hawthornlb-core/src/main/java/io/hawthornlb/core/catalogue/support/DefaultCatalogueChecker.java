package io.hawthornlb.core.catalogue.support;

import io.hawthornlb.core.catalogue.Catalogue;
import io.hawthornlb.core.catalogue.CatalogueChecker;
import io.hawthornlb.core.catalogue.CatalogueEdit;
import io.hawthornlb.core.catalogue.ServiceEntry;
import io.hawthornlb.core.catalogue.WorkspaceEntry;
import io.hawthornlb.core.model.Finding;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.model.WorkspaceId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/** The checks of version 1 of the rules. They must never change; changed checks are version 2. */
public final class DefaultCatalogueChecker implements CatalogueChecker {

  private static final int RULES = 1;
  private static final String SOURCE = "edit";
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]{0,126}");
  private static final Pattern KEY_HASH = Pattern.compile("[0-9a-f]{64}");
  private static final Duration MAX_RETENTION = Duration.ofDays(31);

  @Override
  public int rules() {
    return RULES;
  }

  @Override
  public List<Finding> check(Catalogue catalogue, CatalogueEdit edit) {
    List<Finding> findings = new ArrayList<>();
    checkHeader(edit, findings);
    checkServices(catalogue, edit, findings);
    checkWorkspaces(catalogue, edit, findings);
    checkKeys(catalogue, edit, findings);
    return findings;
  }

  private static void checkHeader(CatalogueEdit edit, List<Finding> findings) {
    if (edit.editId().isBlank()) {
      add(findings, "editId", "must name the edit");
    }
    if (edit.author().isBlank()) {
      add(findings, "author", "must say who makes the edit");
    }
    boolean isEmpty =
        edit.putServices().isEmpty()
            && edit.putWorkspaces().isEmpty()
            && edit.removedServices().isEmpty()
            && edit.removedWorkspaces().isEmpty();
    if (isEmpty) {
      add(findings, "", "changes nothing; put or remove an entry");
    }
  }

  private static void checkServices(
      Catalogue catalogue, CatalogueEdit edit, List<Finding> findings) {
    Set<ServiceName> edited = new HashSet<>();
    for (ServiceEntry entry : edit.putServices()) {
      String path = "services[" + entry.name() + "]";
      if (!edited.add(entry.name())) {
        add(findings, path, "stands in the edit twice");
      }
      checkName(entry.name().value(), path, findings);
      if (entry.resultRetention().compareTo(MAX_RETENTION) > 0) {
        add(findings, path + ".resultRetention", "must be at most 31 days");
      }
      checkFinite(entry.limits().requestsPerSecond(), path + ".limits.requestsPerSecond", findings);
    }
    for (ServiceName name : edit.removedServices()) {
      String path = "removedServices[" + name + "]";
      checkRemoval(edited.add(name), catalogue.services().containsKey(name), path, findings);
    }
  }

  private static void checkWorkspaces(
      Catalogue catalogue, CatalogueEdit edit, List<Finding> findings) {
    Set<WorkspaceId> edited = new HashSet<>();
    for (WorkspaceEntry entry : edit.putWorkspaces()) {
      String path = "workspaces[" + entry.id() + "]";
      if (!edited.add(entry.id())) {
        add(findings, path, "stands in the edit twice");
      }
      checkName(entry.id().value(), path, findings);
      checkFinite(entry.weight(), path + ".weight", findings);
      checkFinite(entry.limits().requestsPerSecond(), path + ".limits.requestsPerSecond", findings);
    }
    for (WorkspaceId id : edit.removedWorkspaces()) {
      String path = "removedWorkspaces[" + id + "]";
      checkRemoval(edited.add(id), catalogue.workspaces().containsKey(id), path, findings);
    }
  }

  /**
   * Checks that no key belongs to two workspaces, because such a key would let a caller act as
   * either of them.
   */
  private static void checkKeys(Catalogue catalogue, CatalogueEdit edit, List<Finding> findings) {
    Map<String, WorkspaceId> owners = ownersOfKeptKeys(catalogue, edit);
    for (WorkspaceEntry entry : edit.putWorkspaces()) {
      for (int i = 0; i < entry.keyHashes().size(); i++) {
        String path = "workspaces[" + entry.id() + "].keyHashes[" + i + "]";
        String hash = entry.keyHashes().get(i);
        if (!KEY_HASH.matcher(hash).matches()) {
          add(findings, path, "must be a SHA-256 in 64 lower-case hexadecimal digits");
        }
        WorkspaceId owner = owners.putIfAbsent(hash, entry.id());
        if (owner != null) {
          add(findings, path, "is a key of workspace " + owner + " already");
        }
      }
    }
  }

  private static Map<String, WorkspaceId> ownersOfKeptKeys(
      Catalogue catalogue, CatalogueEdit edit) {
    Map<String, WorkspaceId> owners = new HashMap<>();
    if (edit.putWorkspaces().isEmpty()) {
      return owners;
    }
    Set<WorkspaceId> replaced = new HashSet<>(edit.removedWorkspaces());
    edit.putWorkspaces().forEach(entry -> replaced.add(entry.id()));
    for (WorkspaceEntry entry : catalogue.workspaces().values()) {
      if (!replaced.contains(entry.id())) {
        entry.keyHashes().forEach(hash -> owners.put(hash, entry.id()));
      }
    }
    return owners;
  }

  private static void checkName(String name, String path, List<Finding> findings) {
    if (!NAME.matcher(name).matches()) {
      add(findings, path, "name must be up to 127 letters, digits, '.', '_', ':' or '-'");
    }
  }

  private static void checkFinite(double value, String path, List<Finding> findings) {
    if (!Double.isFinite(value)) {
      add(findings, path, "must be a finite number");
    }
  }

  private static void checkRemoval(
      boolean editedOnce, boolean exists, String path, List<Finding> findings) {
    if (!editedOnce) {
      add(findings, path, "is put or removed in the same edit already");
    }
    if (!exists) {
      add(findings, path, "does not exist");
    }
  }

  private static void add(List<Finding> findings, String path, String message) {
    findings.add(new Finding(SOURCE, 0, path, message));
  }
}
