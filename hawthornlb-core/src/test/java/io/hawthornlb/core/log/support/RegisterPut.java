package io.hawthornlb.core.log.support;

import io.hawthornlb.core.log.RecordBody;

/**
 * Adds a value to a register. The record is valid only if the register has the expected version.
 *
 * @param register the number of the register
 * @param expectedVersion the version that the register must have, or -1 to accept any version
 * @param value the added value
 */
record RegisterPut(int register, long expectedVersion, long value) implements RecordBody {}
