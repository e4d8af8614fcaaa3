"use strict"
/// Stands in for built-in modules that libraries load but the daemon never uses: HTTP/2, cluster, HTTPS. Loading them
/// costs a starting process some 7 ms.
module.exports = {constants: {}}
