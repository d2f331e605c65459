package io.hawthornlb.core.log.support;

/** Value of a register, and its version, which is the offset after the last valid put. */
record RegisterState(long version, long sum) {

  static final RegisterState ZERO = new RegisterState(0, 0);

  /** Returns the state after a put at an offset, or this state if the put is void. */
  RegisterState put(long offset, RegisterPut put) {
    if (put.expectedVersion() >= 0 && put.expectedVersion() != version) {
      return this;
    }
    return new RegisterState(offset + 1, sum * 31 + put.value());
  }
}
