/** A client that reads an answer byte by byte, so that it sees how the connection ends. */
import { connect } from 'node:net';
import { setTimeout } from 'node:timers';
import { HOST } from './site.mjs';

const HEAD_END = '\r\n\r\n';

/**
 * Sends one request on a connection of its own. Returns the status, the head, the bytes after it and how the
 * connection ended: `end` (closed regularly), `reset`, or `timeout`.
 */
export function ask(port, { method = 'GET', path, headers = {}, body = '', timeoutMs = 8000, onData }) {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1');
    let text = '';
    let over = false;
    const finish = (ending) => {
      if (over) return;
      over = true;
      socket.destroy();
      const split = text.indexOf(HEAD_END);
      const head = split < 0 ? text : text.slice(0, split);
      const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(head)?.[1] ?? 0);
      resolve({ status, head, body: split < 0 ? '' : text.slice(split + HEAD_END.length), ending });
    };
    setTimeout(() => finish('timeout'), timeoutMs).unref();
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      onData?.(text);
      if (isComplete(text)) finish('complete');
    });
    socket.on('error', () => finish('reset'));
    socket.on('end', () => finish('end'));
    socket.on('close', () => finish('end'));
    const lines = [`${method} ${path} HTTP/1.1`, `Host: ${HOST}`];
    for (const [name, value] of Object.entries(headers)) lines.push(`${name}: ${value}`);
    if (body !== '') lines.push(`Content-Length: ${body.length}`);
    socket.write(`${lines.join('\r\n')}${HEAD_END}${body}`);
  });
}

/** Whether an answer with a length or with chunks is whole. */
function isComplete(text) {
  const split = text.indexOf(HEAD_END);
  if (split < 0) return false;
  const head = text.slice(0, split).toLowerCase();
  const body = text.slice(split + HEAD_END.length);
  const length = /content-length: *(\d+)/.exec(head);
  if (length) return body.length >= Number(length[1]);
  return head.includes('transfer-encoding: chunked') && body.endsWith('0\r\n\r\n');
}
