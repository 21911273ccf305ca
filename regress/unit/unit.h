/* UNIT_MAIN() defines the main function of a CUnit program: it runs one suite
   of tests and prints how many passed and failed. */
#ifndef UNIT_H
#define UNIT_H

#include <CUnit/Basic.h>
#include <stdio.h>

#define UNIT_MAIN(suite_name, ...)                                            \
  int main (void)                                                             \
  {                                                                           \
    CU_TestInfo tests[] = { __VA_ARGS__, CU_TEST_INFO_NULL };                 \
    CU_SuiteInfo suites[] = {                                                 \
      { .pName = (suite_name), .pTests = tests },                             \
      CU_SUITE_INFO_NULL,                                                     \
    };                                                                        \
    if (CU_initialize_registry () || CU_register_suites (suites))             \
      return 2;                                                               \
    CU_basic_set_mode (CU_BRM_NORMAL);                                        \
    CU_basic_run_tests ();                                                    \
    unsigned failed = CU_get_number_of_tests_failed ();                       \
    unsigned run = CU_get_number_of_tests_run ();                             \
    printf ("%s: %u passed, %u failed\n", suite_name, run - failed, failed);  \
    CU_cleanup_registry ();                                                   \
    return failed ? 1 : 0;                                                    \
  }

#endif
