//! Which services stand where.

/// A service and the number of its backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceLayout {
    /// Name of the service.
    pub name: String,
    /// Backend servers, dealt to the data centres in turn.
    pub instances: u16,
}

/// One user's services and data centres.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeploymentLayout {
    /// Name of the user, and of the directory with its presets.
    pub name: String,
    /// Region of all its data centres.
    pub region: String,
    /// Names of its data centres.
    pub data_centres: Vec<String>,
    /// Its services.
    pub services: Vec<ServiceLayout>,
    /// Requests that a backend server runs at a time.
    pub slots: u16,
    /// Connections that a backend server holds.
    pub connections: u16,
    /// Milliseconds that a request takes at a backend server.
    pub service_ms: u64,
    /// Further flags of every node, such as `("--stall-timeout-s", "1")`.
    pub node_flags: Vec<(String, String)>,
}

impl DeploymentLayout {
    /// Heildsala Norðurljós at today's size.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_rig::DeploymentLayout;
    ///
    /// assert_eq!(DeploymentLayout::nordurljos().instances().len(), 13);
    /// ```
    pub fn nordurljos() -> Self {
        Self {
            name: "nordurljos".to_owned(),
            region: "reykjavik".to_owned(),
            data_centres: owned(&["sundahofn", "hofdi", "kopavogur"]),
            services: services(&[("verdskra", 6), ("pantanir", 4), ("vorulisti", 3)]),
            slots: 12,
            connections: 130,
            service_ms: 2,
            node_flags: Vec::new(),
        }
    }

    /// Observatoire Heliomagnetique de Wallonie at today's size.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_rig::DeploymentLayout;
    ///
    /// assert_eq!(DeploymentLayout::heliomagnetique().instances().len(), 11);
    /// ```
    pub fn heliomagnetique() -> Self {
        Self {
            name: "heliomagnetique".to_owned(),
            region: "wallonie".to_owned(),
            data_centres: owned(&["dourbes-hall", "uccle-annex", "namur-vault"]),
            services: services(&[("indexdesk", 5), ("bulletin", 3), ("archivist", 3)]),
            slots: 12,
            connections: 110,
            service_ms: 2,
            node_flags: Vec::new(),
        }
    }

    /// Returns service, instance name and data centre of every instance.
    pub fn instances(&self) -> Vec<(&str, String, &str)> {
        let mut instances = Vec::new();
        for service in &self.services {
            for number in 0..usize::from(service.instances) {
                let centre = &self.data_centres[number % self.data_centres.len()];
                let name = format!("{}-{}", service.name, number + 1);
                instances.push((service.name.as_str(), name, centre.as_str()));
            }
        }
        instances
    }
}

fn owned(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn services(sizes: &[(&str, u16)]) -> Vec<ServiceLayout> {
    let service = |&(name, instances): &(&str, u16)| ServiceLayout {
        name: name.to_owned(),
        instances,
    };
    sizes.iter().map(service).collect()
}
