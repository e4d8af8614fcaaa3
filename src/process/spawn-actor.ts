/**
 * Spawns the actors of a daemon process. Each handles one message after another and keeps no state in nact. An
 * exception in an actor is a defect: the process exits at once instead of continuing without that actor. Its
 * leases and slots then expire, as with any killed process.
 */
import nact, { type Ref } from 'nact';
import { EXIT_CRASH } from '../shared/exit-codes.js';

/** The nact system in which actors are spawned; stopping it stops them all. */
type ActorSystem = ReturnType<typeof nact.start>;

/**
 * Starts an actor that passes each message to `onMessage`. An exception from `onMessage` ends the process with
 * exit code `EXIT_CRASH`.
 */
export function spawnActor<Message>(
  system: ActorSystem,
  name: string,
  onMessage: (message: Message) => void,
): Ref<Message> {
  const receive = (_state: undefined, message: Message): undefined => {
    onMessage(message);
    return undefined;
  };
  return nact.spawn(system, receive, name, { onCrash: exitOnCrash });
}

function exitOnCrash(_message: unknown, error: unknown): never {
  process.stderr.write(`${error instanceof Error ? error.stack : String(error)}\n`);
  return process.exit(EXIT_CRASH);
}
