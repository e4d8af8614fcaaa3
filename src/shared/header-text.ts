/**
 * Which texts may stand in an HTTP message that this process writes. Adapters check a text from outside once, where it
 * arrives, so that nothing behind them can fail on it.
 */

/** Maximum length of an identifier. Characters; the same as of texts in messages between daemons. */
export const MAXIMUM_IDENTIFIER_LENGTH = 512;
const IDENTIFIER = new RegExp(`^[\\x21-\\x7e]{1,${MAXIMUM_IDENTIFIER_LENGTH}}$`);
/** Maximum length of an event id, which is sent back in a header. Characters. */
const MAXIMUM_EVENT_ID_LENGTH = 4096;
/** Field values of RFC 9110, 5.5: no control characters but the tab, and one byte for each character. */
const FIELD_VALUE = /^[\t\x20-\x7e\x80-\xff]*$/;
const ORIGIN_FORM = /^\/[\x21-\x7e]*$/;

/** Whether a text may be an identifier, which is sent in headers and paths: visible ASCII characters only. */
export function isIdentifier(text: string): boolean {
  return IDENTIFIER.test(text);
}

/** Whether a text, one byte for each character, may be sent as the id of the last event that was received. */
export function isEventId(text: string): boolean {
  return text.length <= MAXIMUM_EVENT_ID_LENGTH && FIELD_VALUE.test(text);
}

/** Whether a text may be the target of a request (RFC 9112, 3.2.1). */
export function isRequestPath(text: string): boolean {
  return ORIGIN_FORM.test(text);
}

/** Encodes a text without control characters as the value of a header: as UTF-8 if it doesn't fit one byte each. */
export function encodeFieldValue(text: string): string {
  return FIELD_VALUE.test(text) ? text : Buffer.from(text, 'utf8').toString('latin1');
}
