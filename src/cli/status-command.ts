/** `pulleyledge status`: engines, roles, leases, limits, and the configuration revision of each daemon. */
import type { CompletionDaemonStatus } from '../daemon/completion-messages.js';
import type { PulleyledgeError } from '../errors/index.js';
import { OperatorClient } from './operator-client.js';
import { formatTable } from '../shared/table.js';

/** One daemon's status, or why it did not answer. */
type Answer =
  | { readonly address: string; readonly status: CompletionDaemonStatus }
  | { readonly address: string; readonly error: PulleyledgeError };

/** Asks every daemon named and returns what to print. */
export async function runStatusCommand(addresses: readonly string[], json: boolean): Promise<string> {
  const answers = await Promise.all(addresses.map(ask));
  if (json) {
    return JSON.stringify(
      answers.map((answer) =>
        'status' in answer ? answer.status : { address: answer.address, error: answer.error.code },
      ),
      null,
      2,
    );
  }
  const reached = answers.flatMap((answer) => ('status' in answer ? [answer.status] : []));
  return [daemonTable(answers), engineTable(reached), leaseTable(reached), limitTable(reached)].join('\n\n');
}

async function ask(address: string): Promise<Answer> {
  try {
    return { address, status: await new OperatorClient(address).getStatus() };
  } catch (error) {
    return { address, error: error as PulleyledgeError };
  }
}

function daemonTable(answers: readonly Answer[]): string {
  const rows = answers.map((answer) => {
    if (!('status' in answer))
      return [answer.address, '', `no answer (${answer.error.code})`, '', '', '', ''];
    const { status } = answer;
    const alive = status.members.filter((member) => member.state === 'alive').length;
    const { active, waiting } = status.requests;
    return [
      status.id,
      status.zone,
      `${status.ready ? 'ready' : 'not ready'} (${status.reason})`,
      status.configurationRevision,
      alive,
      active,
      waiting,
    ];
  });
  return formatTable(['daemon', 'zone', 'state', 'revision', 'members', 'active', 'waiting'], rows);
}

function engineTable(statuses: readonly CompletionDaemonStatus[]): string {
  const engines = new Map(statuses.flatMap((status) => status.engines).map((engine) => [engine.id, engine]));
  const rows = [...engines.values()]
    .sort((left, right) => left.id.localeCompare(right.id))
    .map(({ id, cell, phase, assignment, streams, maximumStreams }) => {
      const model = assignment ? `${assignment.model}@${assignment.version}` : '?';
      return [
        id,
        cell,
        assignment?.role ?? '?',
        model,
        assignment?.adapters.join(' ') ?? '',
        phase,
        `${streams}/${maximumStreams}`,
      ];
    });
  return formatTable(['engine', 'cell', 'role', 'model', 'adapters', 'phase', 'streams'], rows);
}

function leaseTable(statuses: readonly CompletionDaemonStatus[]): string {
  const rows = statuses.flatMap((status) =>
    status.leases
      .filter((lease) => lease.heldHere)
      .map((lease) => [lease.cell, lease.holder, lease.epoch, status.roleChanges]),
  );
  return formatTable(['cell', 'lease holder', 'epoch', 'changes ordered'], rows);
}

function limitTable(statuses: readonly CompletionDaemonStatus[]): string {
  const rows = statuses.flatMap((status) =>
    status.limits.map((limit) => [limit.service, status.id, limit.held, limit.waiting]),
  );
  return formatTable(['service', 'limits owner', 'slots in use', 'waiting'], rows);
}
