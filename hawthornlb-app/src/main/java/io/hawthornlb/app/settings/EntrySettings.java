package io.hawthornlb.app.settings;

import io.hawthornlb.core.util.Checks;
import java.util.List;

/** All settings of one entry instance. */
public final class EntrySettings {

  private final InstanceSettings instance;
  private final HttpSettings http;
  private final PeerSettings peers;
  private final PlatformSettings platform;
  private final ClaimSettings claims;
  private final LimitSettings limits;
  private final List<String> operatorKeyHashes;
  private final LogLevel logLevel;

  private EntrySettings(Builder builder) {
    this.instance = builder.instance;
    this.http = builder.http;
    this.peers = builder.peers;
    this.platform = builder.platform;
    this.claims = builder.claims;
    this.limits = builder.limits;
    this.operatorKeyHashes = List.copyOf(builder.operatorKeyHashes);
    this.logLevel = builder.logLevel;
    checkPlainPeers();
  }

  private void checkPlainPeers() {
    Checks.isTrue(
        peers.tls().mode() != TlsMode.PLAIN || peers.address().isLoopback(),
        "peers without TLS must listen on loopback");
  }

  /** Starts settings from the parts that have no default. */
  public static Builder builder(
      InstanceSettings instance, HttpSettings http, PeerSettings peers, PlatformSettings platform) {
    return new Builder(instance, http, peers, platform);
  }

  /** Returns who this instance is. */
  public InstanceSettings instance() {
    return instance;
  }

  /** Returns the front door for callers. */
  public HttpSettings http() {
    return http;
  }

  /** Returns how to talk to other entries. */
  public PeerSettings peers() {
    return peers;
  }

  /** Returns where the platform answers. */
  public PlatformSettings platform() {
    return platform;
  }

  /** Returns how partitions are claimed. */
  public ClaimSettings claims() {
    return claims;
  }

  /** Returns what the instance takes on at most. */
  public LimitSettings limits() {
    return limits;
  }

  /** Returns the SHA-256 of each operator's key in lower-case hexadecimal. */
  public List<String> operatorKeyHashes() {
    return operatorKeyHashes;
  }

  /** Returns the least serious event that is logged. */
  public LogLevel logLevel() {
    return logLevel;
  }

  /** Collects the parts of {@link EntrySettings}. */
  public static final class Builder {

    private final InstanceSettings instance;
    private final HttpSettings http;
    private final PeerSettings peers;
    private final PlatformSettings platform;
    private ClaimSettings claims = ClaimSettings.DEFAULT;
    private LimitSettings limits = LimitSettings.DEFAULT;
    private List<String> operatorKeyHashes = List.of();
    private LogLevel logLevel = LogLevel.INFO;

    private Builder(
        InstanceSettings instance,
        HttpSettings http,
        PeerSettings peers,
        PlatformSettings platform) {
      this.instance = instance;
      this.http = http;
      this.peers = peers;
      this.platform = platform;
    }

    /** Sets how partitions are claimed; {@link ClaimSettings#DEFAULT} by default. */
    public Builder claims(ClaimSettings value) {
      this.claims = value;
      return this;
    }

    /** Sets the limits; {@link LimitSettings#DEFAULT} by default. */
    public Builder limits(LimitSettings value) {
      this.limits = value;
      return this;
    }

    /** Sets the hashes of operators' keys; none by default, so that nobody may edit. */
    public Builder operatorKeyHashes(List<String> value) {
      this.operatorKeyHashes = value;
      return this;
    }

    /** Sets the log level; info by default. */
    public Builder logLevel(LogLevel value) {
      this.logLevel = value;
      return this;
    }

    /** Returns the settings. */
    public EntrySettings build() {
      return new EntrySettings(this);
    }
  }
}
