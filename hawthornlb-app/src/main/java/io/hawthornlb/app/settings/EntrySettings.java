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
    requireTlsBeyondLoopback();
  }

  private void requireTlsBeyondLoopback() {
    Checks.isTrue(
        peers.tls().mode() != TlsMode.PLAIN || peers.address().isLoopback(),
        "peers without TLS must listen on a loopback address");
  }

  /** Returns a builder that holds the required parts, which have no default. */
  public static Builder builder(
      InstanceSettings instance, HttpSettings http, PeerSettings peers, PlatformSettings platform) {
    return new Builder(instance, http, peers, platform);
  }

  /** Returns the identity of this instance. */
  public InstanceSettings instance() {
    return instance;
  }

  /** Returns the settings of the HTTP server for callers. */
  public HttpSettings http() {
    return http;
  }

  /** Returns the settings for connections to other entry instances. */
  public PeerSettings peers() {
    return peers;
  }

  /** Returns the settings for calls to the platform. */
  public PlatformSettings platform() {
    return platform;
  }

  /** Returns the settings for claiming partitions. */
  public ClaimSettings claims() {
    return claims;
  }

  /** Returns the load limits of this instance. */
  public LimitSettings limits() {
    return limits;
  }

  /** Returns the SHA-256 digest of each operator's key in lower-case hexadecimal. */
  public List<String> operatorKeyHashes() {
    return operatorKeyHashes;
  }

  /** Returns the lowest level at which events are logged. */
  public LogLevel logLevel() {
    return logLevel;
  }

  /** Builder of {@link EntrySettings}. */
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

    /** Sets the settings for claiming partitions; {@link ClaimSettings#DEFAULT} by default. */
    public Builder claims(ClaimSettings value) {
      this.claims = value;
      return this;
    }

    /** Sets the load limits; {@link LimitSettings#DEFAULT} by default. */
    public Builder limits(LimitSettings value) {
      this.limits = value;
      return this;
    }

    /** Sets the hashes of operators' keys; empty by default, so nobody may edit the catalogue. */
    public Builder operatorKeyHashes(List<String> value) {
      this.operatorKeyHashes = value;
      return this;
    }

    /** Sets the log level; {@link LogLevel#INFO} by default. */
    public Builder logLevel(LogLevel value) {
      this.logLevel = value;
      return this;
    }

    /**
     * Returns the settings.
     *
     * @throws IllegalArgumentException if peers listen without TLS on an address beyond loopback
     */
    public EntrySettings build() {
      return new EntrySettings(this);
    }
  }
}
