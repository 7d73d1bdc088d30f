package trestlegrade.lab.ci;

/**
 * The outcome of one test case, as reported by Surefire or Failsafe.
 *
 * @param className name of the test class without its package
 * @param method name of the test method without arguments or the index of a parameterized case; empty if the class
 *     itself failed
 */
record TestResult(String className, String method, Outcome outcome) {

    /** How a test case ended. */
    enum Outcome {
        PASSED,
        /** An assertion failed, or an exception ended the test. */
        FAILED,
        SKIPPED
    }

    /** The name of the test in the list of known failures. */
    String testName() {
        return className + "." + method;
    }
}
