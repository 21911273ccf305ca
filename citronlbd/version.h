/** DOC: Version of the program. */
#ifndef VERSION_H
#define VERSION_H

/** program_version() - Return the version that the program was built from, as
 * scripts/version prints it. */
const char *program_version (void);

#endif
