/** Addresses in the form `ip:port`. */

/** Splits an address of the form `ip:port`. Does not validate it. */
export function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
