/** Spreads runs over worker threads. */
import { availableParallelism } from 'node:os';
import { parentPort, Worker, isMainThread } from 'node:worker_threads';
import { runGoodput, type GoodputResult, type GoodputRun } from './goodput-run.js';

const MAXIMUM_WORKERS = 6;

/** Does all runs and calls `onResult` as each is done. The results come in the order of the runs. */
export async function runAll(
  runs: readonly GoodputRun[],
  onResult: (done: number) => void,
): Promise<GoodputResult[]> {
  const results: GoodputResult[] = [];
  let next = 0;
  let done = 0;
  const work = (): Promise<void> =>
    new Promise((resolve, reject) => {
      const worker = new Worker(new URL(import.meta.url));
      let index = -1;
      const give = (): void => {
        if (next >= runs.length) {
          void worker.terminate();
          resolve();
          return;
        }
        index = next;
        next += 1;
        worker.postMessage(runs[index]);
      };
      worker.on('message', (result: GoodputResult) => {
        results[index] = result;
        done += 1;
        onResult(done);
        give();
      });
      worker.on('error', reject);
      give();
    });
  const workers = Math.min(MAXIMUM_WORKERS, availableParallelism() - 1, runs.length);
  await Promise.all(Array.from({ length: Math.max(1, workers) }, work));
  return results;
}

if (!isMainThread) {
  parentPort?.on('message', (run: GoodputRun) => parentPort?.postMessage(runGoodput(run)));
}
