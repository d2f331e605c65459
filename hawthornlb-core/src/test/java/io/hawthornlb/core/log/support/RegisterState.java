package io.hawthornlb.core.log.support;

/** The sum of a register and the offset of the last valid put. */
record RegisterState(long version, long sum) {

  static final RegisterState ZERO = new RegisterState(0, 0);

  /** Returns the state after a put at an offset, which is this one if the put is void. */
  RegisterState put(long offset, RegisterPut put) {
    if (put.expectedVersion() >= 0 && put.expectedVersion() != version) {
      return this;
    }
    return new RegisterState(offset + 1, sum * 31 + put.value());
  }
}
