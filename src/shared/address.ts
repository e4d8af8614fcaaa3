/** Addresses in the form `ip:port`. */
import { isIPv4 } from 'node:net';
import * as z from 'zod';

/** The highest port of TCP. */
const LAST_PORT = 65_535;

/** Maximum length of texts in messages between daemons. Characters. */
const MAXIMUM_LENGTH = 512;

/** Schema of an address to connect to (`ip:port`). */
export const addressSchema = z.string().refine(isAddress, 'must be an IP number and port');

/** The same in messages between daemons. */
export const peerAddressSchema = z
  .string()
  .max(MAXIMUM_LENGTH)
  .refine(isAddress, 'must be an IP number and port');

/** Splits an address of the form `ip:port`. Does not validate it. */
export function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

function isAddress(text: string): boolean {
  const [ip, port, ...rest] = text.split(':');
  const number = /^\d{1,5}$/.test(port) ? Number(port) : 0;
  return rest.length === 0 && isIPv4(ip) && number >= 1 && number <= LAST_PORT;
}
