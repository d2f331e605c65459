package io.hawthornlb.app.settings;

import io.hawthornlb.core.catalogue.Catalogue;
import io.hawthornlb.core.catalogue.Limits;
import io.hawthornlb.core.catalogue.Repeatability;
import io.hawthornlb.core.catalogue.ServiceEntry;
import io.hawthornlb.core.catalogue.ServiceKind;
import io.hawthornlb.core.catalogue.WorkspaceEntry;
import io.hawthornlb.core.config.ConfigReader;
import io.hawthornlb.core.config.ConfigSection;
import io.hawthornlb.core.config.support.YamlConfigReader;
import io.hawthornlb.core.model.Finding;
import io.hawthornlb.core.model.RequestClass;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.model.WorkspaceId;
import io.vavr.control.Validation;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Reads and validates catalogue files.
 *
 * <p>The returned catalogue has revision -1, because it gets a revision only when it is put in
 * force.
 */
public final class CatalogueReader {

  private static final double MAX_RATE = 1_000_000;
  private static final int MAX_CONCURRENT = 1_000_000;
  private static final double MAX_WEIGHT = 1_000;
  private static final double MIN_POSITIVE = 0.001;

  private final ConfigReader reader = new YamlConfigReader();

  /** Returns the catalogue in a file, or all faults of the file. */
  public Validation<List<Finding>, Catalogue> read(Path file) {
    return TextFiles.read(file).flatMap(content -> read(file.toString(), content));
  }

  /** Returns the catalogue in a text, or all its faults; findings name {@code source} as origin. */
  public Validation<List<Finding>, Catalogue> read(String source, String content) {
    return reader.read(source, content, CatalogueReader::bind);
  }

  private static Supplier<Catalogue> bind(ConfigSection root) {
    root.require("services", "workspaces");
    List<Supplier<ServiceEntry>> services = new ArrayList<>();
    ConfigSection serviceSections = root.section("services");
    for (String name : serviceSections.keys()) {
      checkName(serviceSections, name);
      services.add(service(name, serviceSections.section(name)));
    }
    List<Supplier<WorkspaceEntry>> workspaces = new ArrayList<>();
    ConfigSection workspaceSections = root.section("workspaces");
    Map<String, String> workspacesByKey = new HashMap<>();
    for (String id : workspaceSections.keys()) {
      checkName(workspaceSections, id);
      workspaces.add(workspace(id, workspaceSections.section(id), workspacesByKey));
    }
    return () ->
        new Catalogue(
            Catalogue.EMPTY.revision(),
            byKey(services, ServiceEntry::name),
            byKey(workspaces, WorkspaceEntry::id));
  }

  private static <K, V> Map<K, V> byKey(List<Supplier<V>> values, Function<V, K> key) {
    return values.stream().map(Supplier::get).collect(Collectors.toMap(key, value -> value));
  }

  private static void checkName(ConfigSection section, String name) {
    if (!SettingValues.isName(name)) {
      section.reject(name, SettingValues.NAME_EXPECTED);
    }
  }

  private static Supplier<ServiceEntry> service(String name, ConfigSection section) {
    section.require("owner", "kind");
    Optional<String> owner = section.text("owner");
    Optional<ServiceKind> kind = section.choice("kind", ServiceKind.class);
    Optional<RequestClass> requestClass = requestClass(section);
    Limits limits = limits(section.section("limits"));
    Optional<Duration> deadline = SettingValues.positiveDuration(section, "deadline");
    Optional<Duration> firstToken = firstToken(section, kind, deadline);
    Optional<Repeatability> repeatability = section.choice("repeatability", Repeatability.class);
    Optional<Double> batchWeight = section.number("batchWeight", 0, 1);
    Optional<Duration> retention = section.duration("resultRetention");
    return () -> {
      ServiceEntry.Builder builder =
          ServiceEntry.builder(new ServiceName(name), owner.orElseThrow(), kind.orElseThrow());
      requestClass.ifPresent(builder::requestClass);
      builder.limits(limits);
      deadline.ifPresent(builder::deadline);
      firstToken.ifPresent(builder::firstToken);
      repeatability.ifPresent(builder::repeatability);
      batchWeight.ifPresent(builder::batchWeight);
      retention.ifPresent(builder::resultRetention);
      return builder.build();
    };
  }

  private static Optional<RequestClass> requestClass(ConfigSection section) {
    Optional<RequestClass> requestClass = section.choice("class", RequestClass.class);
    if (requestClass.equals(Optional.of(RequestClass.BATCH))) {
      section.reject("class", "batch is the class of job items; expected interactive or bulk");
    }
    return requestClass;
  }

  /**
   * Reads the time limit for the first token.
   *
   * <p>If the limit is not set and the deadline is shorter than the default limit, the deadline
   * applies to the first token, too.
   */
  private static Optional<Duration> firstToken(
      ConfigSection section, Optional<ServiceKind> kind, Optional<Duration> deadline) {
    Optional<Duration> firstToken = SettingValues.positiveDuration(section, "firstToken");
    if (firstToken.isEmpty()) {
      return deadline.filter(value -> value.compareTo(ServiceEntry.DEFAULT_FIRST_TOKEN) < 0);
    }
    if (kind.equals(Optional.of(ServiceKind.PLAIN))) {
      section.reject("firstToken", "a plain service streams no tokens; remove it");
    }
    if (firstToken.get().compareTo(deadline.orElse(ServiceEntry.DEFAULT_DEADLINE)) > 0) {
      section.reject("firstToken", "must not be longer than the deadline");
    }
    return firstToken;
  }

  private static Supplier<WorkspaceEntry> workspace(
      String id, ConfigSection section, Map<String, String> workspacesByKey) {
    section.require("owner", "keyHashes");
    Optional<String> owner = section.text("owner");
    List<String> hashes = KeyHashes.read(section, "keyHashes");
    for (String hash : hashes) {
      String other = workspacesByKey.putIfAbsent(hash, id);
      if (other != null && !other.equals(id)) {
        section.reject("keyHashes", "workspace " + other + " has the same key; a key names one");
      }
    }
    Limits limits = limits(section.section("limits"));
    Optional<Double> weight = section.number("weight", MIN_POSITIVE, MAX_WEIGHT);
    return () ->
        new WorkspaceEntry(
            new WorkspaceId(id), owner.orElseThrow(), hashes, limits, weight.orElse(1.0));
  }

  private static Limits limits(ConfigSection section) {
    Optional<Double> rate = section.number("requestsPerSecond", MIN_POSITIVE, MAX_RATE);
    Optional<Integer> concurrent = section.wholeNumber("concurrent", 1, MAX_CONCURRENT);
    Optional<Integer> body = SettingValues.positiveSize(section, "body");
    Limits defaults = Limits.DEFAULT;
    return new Limits(
        rate.orElse(defaults.requestsPerSecond()),
        concurrent.orElse(defaults.concurrent()),
        body.orElse(defaults.bodyBytes()));
  }
}
