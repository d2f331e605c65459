/** Records of the platform log, and the interfaces of the folds that apply them. */
@NullMarked
package io.hawthornlb.core.log;

import org.jspecify.annotations.NullMarked;
