package io.hawthornlb.app.settings;

import io.hawthornlb.core.catalogue.Catalogue;
import io.hawthornlb.core.catalogue.Limits;
import io.hawthornlb.core.catalogue.ServiceEntry;
import io.hawthornlb.core.catalogue.ServiceKind;
import io.hawthornlb.core.catalogue.WorkspaceEntry;
import io.hawthornlb.core.config.EnumNames;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import org.yaml.snakeyaml.DumperOptions;
import org.yaml.snakeyaml.Yaml;

/** Writes a catalogue as YAML for {@link CatalogueReader}, with entries sorted by name. */
public final class CatalogueWriter {

  /** Returns the YAML text of a catalogue. */
  public String write(Catalogue catalogue) {
    Map<String, Object> services = new LinkedHashMap<>();
    new TreeMap<>(catalogue.services())
        .forEach((name, entry) -> services.put(name.value(), service(entry)));
    Map<String, Object> workspaces = new LinkedHashMap<>();
    new TreeMap<>(catalogue.workspaces())
        .forEach((id, entry) -> workspaces.put(id.value(), workspace(entry)));
    Map<String, Object> document = new LinkedHashMap<>();
    document.put("services", services);
    document.put("workspaces", workspaces);
    return yaml().dump(document);
  }

  private static Yaml yaml() {
    DumperOptions options = new DumperOptions();
    options.setDefaultFlowStyle(DumperOptions.FlowStyle.BLOCK);
    return new Yaml(options);
  }

  private static Map<String, Object> service(ServiceEntry entry) {
    Map<String, Object> values = new LinkedHashMap<>();
    values.put("owner", entry.owner());
    values.put("kind", EnumNames.name(entry.kind()));
    values.put("class", EnumNames.name(entry.requestClass()));
    values.put("limits", limits(entry.limits()));
    values.put("deadline", duration(entry.deadline()));
    if (entry.kind() == ServiceKind.ENGINE) {
      values.put("firstToken", duration(entry.firstToken()));
    }
    values.put("repeatability", EnumNames.name(entry.repeatability()));
    values.put("batchWeight", entry.batchWeight());
    values.put("resultRetention", duration(entry.resultRetention()));
    return values;
  }

  private static Map<String, Object> workspace(WorkspaceEntry entry) {
    Map<String, Object> values = new LinkedHashMap<>();
    values.put("owner", entry.owner());
    values.put("keyHashes", entry.keyHashes());
    values.put("limits", limits(entry.limits()));
    values.put("weight", entry.weight());
    return values;
  }

  private static Map<String, Object> limits(Limits limits) {
    Map<String, Object> values = new LinkedHashMap<>();
    values.put("requestsPerSecond", limits.requestsPerSecond());
    values.put("concurrent", limits.concurrent());
    values.put("body", limits.bodyBytes() + "B");
    return values;
  }

  private static String duration(Duration duration) {
    return duration.toMillis() + "ms";
  }
}
