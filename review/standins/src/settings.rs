//! The configuration of a proxy in a small deployment.

use std::net::SocketAddr;

/// What differs from case to case.
pub struct Deployment<'a> {
    /// The classes, as entries of `Categories`.
    pub classes: &'a str,
    pub proxies: u32,
    pub number: u32,
    pub connect_timeout_ms: u32,
    pub second_copies: bool,
    /// The list of servers as the proxy last had it.
    pub known: &'a str,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
}

/// One class.
pub fn class(
    name: &str,
    effect: &str,
    group: &str,
    window_ms: u32,
    target_ms: u32,
    ttl_ms: u32,
) -> String {
    format!(
        "{{\"Benefit\":5.0,\"Effect\":\"{effect}\",\"Group\":\"{group}\",\"LateBenefit\":0.25,\"Name\":\"{name}\",\
         \"Streaming\":false,\"TargetLatencyMs\":{target_ms}.0,\"TtlMs\":{ttl_ms}.0,\"WindowMs\":{window_ms}.0}}"
    )
}

impl Deployment<'_> {
    /// The configuration file's text.
    pub fn text(&self) -> String {
        let Deployment {
            classes,
            proxies,
            number,
            connect_timeout_ms,
            second_copies,
            known,
            listen,
            discovery,
        } = self;
        format!(
            r#"{{"name":"n{number}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be96{number}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"known":{known},
"settings":{{"BenefitBasis":"request","Callers":{{"MarksRetry":true}},"Categories":[{classes}],
"Customers":[{{"Fraction":1.0,"Name":"valley","QuotaPerS":200.0}}],
"Discovery":"automatic","ExcessBenefit":0.2,"Family":"proxy",
"Fees":{{"Connection":0.0,"CrossZone":0.03,"Discovery":0.0,"Handshake":0.0,"LateFail":0.05,"Moves":0.0,"Origin":0.0,"Peer":0.0,"Probe":0.01,"Waste":0.02}},
"GroupSize":{proxies},"Kinds":["std"],"Layers":["app"],
"Limits":{{"ConnectTimeoutMs":{connect_timeout_ms}.0,"CpuUsPerRequest":0.0,"CpuUsPerS":500000,"KeepaliveMs":60000.0,"MaxRetryAfterMs":2000.0,"MayCancel":true,"MayTell":false,"MostPushes":4,"Multiplex":1,"OpenCap":20000,"Probes":true,"RetryAfter":true,"SecondCopies":{second_copies}}},
"MyNumber":{number},"MyZone":"a",
"Obligations":{{"AnswerSlackMs":20.0,"AskWithinMs":10000.0,"ColdMs":24000.0,"ColdShare":0.13,"FallMs":3000.0,"FallMultiple":4.0,"StopSendingWithinMs":500.0}},
"Reporting":{{"Fields":["rif","q"],"Via":"piggyback"}},"RoundMs":5.0,
"ScoreParts":{{"Whole":0.25,"WorstClass":0.2,"WorstTenant":0.1,"WorstWindow":0.45}},
"Specifics":{{"WarmKeys":false}},"Tier":0,"WeightKind":"silent","Zones":["a"]}}}}"#
        )
    }
}
