/** Reasons why calls to other systems failed, as labels for logs and metrics. */

/** The system's error code, or the error's name: few different values, so that failures can be counted by it. */
export function getFailureReason(error: unknown): string {
  return (error as NodeJS.ErrnoException).code ?? (error as Error).name;
}
