/**
 * Spawns the actors of a daemon process. Each handles one message after another and keeps no state in nact. An
 * exception in an actor is a defect: the process exits at once instead of continuing without that actor. Its
 * leases and slots then expire, as with any killed process. Handlers confine exceptions that concern one request
 * (request-faults.ts).
 */
import nact, { type Ref } from 'nact';
import { EXIT_CRASH } from '../shared/exit-codes.js';

/** The nact system in which actors are spawned; stopping it stops them all. */
type ActorSystem = ReturnType<typeof nact.start>;

/** An actor that handles its messages in the order in which they were dispatched, after the call returns. */
export interface Actor<Message> {
  dispatch(message: Message): void;
}

/**
 * Starts an actor that passes each message to `onMessage`. An exception from `onMessage` ends the process with
 * exit code `EXIT_CRASH`.
 *
 * nact handles one message in each turn of the event loop. A busy process receives several a turn, and a
 * caller's disconnect would wait behind all of them; so one message of nact stands for all that are pending.
 */
export function spawnActor<Message>(
  system: ActorSystem,
  name: string,
  onMessage: (message: Message) => void,
): Actor<Message> {
  let pending: Message[] = [];
  const receive = (): undefined => {
    const messages = pending;
    pending = [];
    for (const message of messages) onMessage(message);
    return undefined;
  };
  const ref: Ref<undefined> = nact.spawn(system, receive, name, { onCrash: exitOnCrash });
  return {
    dispatch: (message) => {
      pending.push(message);
      if (pending.length === 1) nact.dispatch(ref, undefined);
    },
  };
}

function exitOnCrash(_message: unknown, error: unknown): never {
  process.stderr.write(`${error instanceof Error ? error.stack : String(error)}\n`);
  return process.exit(EXIT_CRASH);
}
