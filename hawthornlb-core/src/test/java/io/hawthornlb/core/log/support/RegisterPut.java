package io.hawthornlb.core.log.support;

import io.hawthornlb.core.log.RecordBody;

/**
 * Puts a value into a register, valid only if the register holds the expected version.
 *
 * @param register the register
 * @param expectedVersion the version that it must hold, or -1 to add to whatever it holds
 * @param value what is added
 */
record RegisterPut(int register, long expectedVersion, long value) implements RecordBody {}
