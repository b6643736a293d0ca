/** Measures what each role costs against links, rows of the table and changes of it. */
package org.cornelramp.bench.scale;
